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
 * Long-polls the store for the operators' routes: one read is always in flight, and completes when the routes change. A
 * failed read is retried after half a second. Confined to the control thread.
 */
public final class RoutePoller {

    /** Interval between reads after a failure, in ns: limits the load on a store that is recovering. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private final RouteSource source;
    private final Executor control;
    private final Consumer<Routes> onRoutes;
    private boolean readInFlight;
    private boolean failing;
    private long lastReadAt;

    private RoutePoller(RouteSource source, Executor control, Consumer<Routes> onRoutes) {
        this.source = Objects.requireNonNull(source, "source is null");
        this.control = Objects.requireNonNull(control, "control is null");
        this.onRoutes = Objects.requireNonNull(onRoutes, "onRoutes is null");
    }

    /**
     * Returns a poller that reads at its first tick.
     *
     * @param source the source of the routes
     * @param control executes tasks on the control thread
     * @param onRoutes receives the routes of each read, on the control thread
     * @return the poller
     */
    public static RoutePoller of(RouteSource source, Executor control, Consumer<Routes> onRoutes) {
        return new RoutePoller(source, control, onRoutes);
    }

    /**
     * Starts a read if one is due. Must be called several times a second.
     *
     * @param nowNanos the current time
     */
    public void tick(long nowNanos) {
        if (readInFlight || failing && nowNanos - lastReadAt < RETRY_NANOS) {
            return;
        }
        readInFlight = true;
        lastReadAt = nowNanos;
        source.read().thenAccept(read -> control.execute(() -> readCompleted(read)));
    }

    private void readCompleted(RouteRead read) {
        readInFlight = false;
        if (read instanceof RouteRead.Found routes) {
            updateFailing(false, "");
            onRoutes.accept(routes.routes());
        } else if (read instanceof RouteRead.Unavailable unavailable) {
            updateFailing(true, unavailable.reason());
        }
    }

    private void updateFailing(boolean nowFailing, String reason) {
        if (nowFailing != failing) {
            failing = nowFailing;
            LogLine line =
                    LogLine.of(nowFailing ? "store-lost" : "store-regained").with("reason", reason);
            line.warn();
        }
    }
}
