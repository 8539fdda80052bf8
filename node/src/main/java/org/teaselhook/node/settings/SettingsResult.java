package org.teaselhook.node.settings;

import java.util.List;
import java.util.function.Function;

/**
 * Valid settings, or all faults of a settings file.
 *
 * @param <T> the type of the settings
 */
public sealed interface SettingsResult<T> permits SettingsResult.Accepted, SettingsResult.Rejected {

    /**
     * Applies the function for this case.
     *
     * @param <R> the result type
     * @param accepted applied to the settings
     * @param rejected applied to the faults
     * @return the function's result
     */
    default <R> R fold(
            Function<? super T, ? extends R> accepted, Function<? super List<SettingFault>, ? extends R> rejected) {
        if (this instanceof Accepted<T> a) {
            return accepted.apply(a.settings());
        }
        return rejected.apply(((Rejected<T>) this).faults());
    }

    /**
     * All settings are valid.
     *
     * @param <T> the type of the settings
     * @param settings the settings
     */
    record Accepted<T>(T settings) implements SettingsResult<T> {}

    /**
     * At least one setting is not valid.
     *
     * @param <T> the type of the settings
     * @param faults all faults, at least one
     */
    record Rejected<T>(List<SettingFault> faults) implements SettingsResult<T> {
        /** Copies the list. */
        public Rejected {
            faults = List.copyOf(faults);
        }
    }
}
