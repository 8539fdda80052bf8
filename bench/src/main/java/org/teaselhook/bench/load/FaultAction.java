package org.teaselhook.bench.load;

import org.teaselhook.bench.process.AdminClient;
import org.teaselhook.bench.process.Site;
import org.teaselhook.standin.table.TableFaults;
import org.teaselhook.standin.target.TargetBehaviour;

/** Injects a fault into a site or removes it. */
enum FaultAction {
    ZONE_OUT {
        @Override
        void apply(Site site) {
            changeZone(site, true);
        }
    },
    ZONE_IN {
        @Override
        void apply(Site site) {
            changeZone(site, false);
        }
    },
    TABLE_OUT {
        @Override
        void apply(Site site) {
            site.table().setFaults(TableFaults.none().withOutage(TableFaults.Outage.SILENT));
        }
    },
    TABLE_BACK {
        @Override
        void apply(Site site) {
            site.table().setFaults(LoadRun.TABLE_FAULTS);
        }
    },
    FAIL_EVERYTHING {
        @Override
        void apply(Site site) {
            setBehaviour(site, LoadRun.HEALTHY.failingImmediately(true));
        }
    },
    SLOW_DOWN {
        @Override
        void apply(Site site) {
            setBehaviour(site, LoadRun.HEALTHY.slowedBy(SLOW_FACTOR));
        }
    },
    RECOVER {
        @Override
        void apply(Site site) {
            setBehaviour(site, LoadRun.HEALTHY);
        }
    };

    private static final double SLOW_FACTOR = 8;

    abstract void apply(Site site);

    private static void changeZone(Site site, boolean out) {
        AdminClient adminClient =
                AdminClient.of(site.client(), site.entries().get(0).http());
        String operation = "measurement-" + (out ? "out" : "in");
        adminClient.changeZone(site.plan().zone(0), out, operation);
    }

    private static void setBehaviour(Site site, TargetBehaviour behaviour) {
        site.agents().get(0).target().behaveAs(behaviour);
    }
}
