package org.teaselhook.node.route;

import java.util.Objects;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.teaselhook.core.route.RouteRead;
import org.teaselhook.core.route.RouteSource;
import org.teaselhook.core.route.Routes;
import org.teaselhook.net.log.LogLine;

/**
 * Keeps a read of the operators' decisions under way, which is answered when they change. A read that failed is
 * repeated after half a second. Confined to the control thread.
 */
public final class RoutePoller {

    /** Between a failed read and the next, in ns: a store that is down is not pressed. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final RouteSource source;
    private final Executor control;
    private final Consumer<Routes> found;
    private boolean reading;
    private boolean failing;
    private long startedAt;

    private RoutePoller(RouteSource source, Executor control, Consumer<Routes> found) {
        this.source = Objects.requireNonNull(source, "source is null");
        this.control = Objects.requireNonNull(control, "control is null");
        this.found = Objects.requireNonNull(found, "found is null");
    }

    /**
     * Returns a poller that reads at its first tick.
     *
     * @param source where to read
     * @param control runs on the control thread
     * @param found given each answer on the control thread
     * @return the poller
     */
    public static RoutePoller of(RouteSource source, Executor control, Consumer<Routes> found) {
        return new RoutePoller(source, control, found);
    }

    /**
     * Reads if due. To be called several times a second.
     *
     * @param nowNanos the present time
     */
    public void tick(long nowNanos) {
        if (reading || failing && nowNanos - startedAt < RETRY_NANOS) {
            return;
        }
        reading = true;
        startedAt = nowNanos;
        source.read().thenAccept(read -> control.execute(() -> onRead(read)));
    }

    private void onRead(RouteRead read) {
        reading = false;
        if (read instanceof RouteRead.Found routes) {
            noteFailing(false, "");
            found.accept(routes.routes());
        } else if (read instanceof RouteRead.Unavailable unavailable) {
            noteFailing(true, unavailable.reason());
        }
    }

    private void noteFailing(boolean fails, String reason) {
        if (fails != failing) {
            failing = fails;
            LogLine line = LogLine.of(fails ? "store-lost" : "store-regained").with("reason", reason);
            line.warn();
        }
    }
}
