package org.teaselhook.standin.target;

/**
 * Does nothing.
 */
enum IgnoringListener implements TaskListener {
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
