package org.teaselhook.standin.target;

/**
 * A task listener that does nothing.
 */
enum NoOpTaskListener implements TaskListener {
    INSTANCE;

    @Override
    public void started(TaskStart start) {
        // nothing is recorded
    }

    @Override
    public void ended(TaskStart start, int status, long wallMillis) {
        // nothing is recorded
    }
}
