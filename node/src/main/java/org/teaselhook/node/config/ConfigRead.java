package org.teaselhook.node.config;

import java.util.Optional;
import java.util.function.Function;

import org.teaselhook.core.table.Row;
import org.teaselhook.core.table.TableResult;

/**
 * The result of reading one row.
 *
 * @param <T> the type of the row's content
 */
sealed interface ConfigRead<T> permits ConfigRead.Value, ConfigRead.Failed {

    /**
     * The table service answered.
     *
     * @param <T> the type of the row's content
     * @param content the row's content, empty if there is no row
     */
    record Value<T>(Optional<T> content) implements ConfigRead<T> {}

    /**
     * The table service did not answer, or the row is malformed.
     *
     * @param <T> the type of the row's content
     * @param reason why the read failed
     */
    record Failed<T>(String reason) implements ConfigRead<T> {}

    static <T> ConfigRead<T> of(TableResult result, Function<Row, Optional<T>> decode) {
        if (result instanceof TableResult.Found found) {
            Optional<T> content = decode.apply(found.row());
            return content.isPresent()
                    ? new Value<>(content)
                    : new Failed<>("the row " + found.row().key() + " is malformed");
        }
        if (result instanceof TableResult.NotFound) {
            return new Value<>(Optional.empty());
        }
        return new Failed<>(reason(result));
    }

    static String reason(TableResult result) {
        return result instanceof TableResult.Unavailable unavailable
                ? "the table service is unavailable: " + unavailable.reason()
                : "the table service answered " + result.getClass().getSimpleName();
    }
}
