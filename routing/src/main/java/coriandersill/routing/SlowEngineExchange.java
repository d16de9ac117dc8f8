package coriandersill.routing;

import coriandersill.core.InstanceId;

/** Tells the other entries which engines are slow; the methods must not block. */
public interface SlowEngineExchange {
    /** An exchange without other entries. */
    SlowEngineExchange NONE = new SlowEngineExchange() {
        @Override
        public void publish(SlowEngineReport report) {}

        @Override
        public void publishEnd(InstanceId engine) {}
    };

    /** Publishes that an engine is slow, or still is. */
    void publish(SlowEngineReport report);

    /** Publishes that an engine decodes at the usual pace again. */
    void publishEnd(InstanceId engine);
}
