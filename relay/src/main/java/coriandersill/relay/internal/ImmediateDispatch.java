package coriandersill.relay.internal;

import coriandersill.core.ServiceName;

/** Dispatches each call when it arrives; calls wait at their upstreams. */
final class ImmediateDispatch implements DispatchQueue {
    @Override
    public void add(WaitingCall call) {
        call.dispatch();
    }

    @Override
    public boolean returnWithoutRoom(WaitingCall call) {
        return false;
    }

    @Override
    public void remove(WaitingCall call) {}

    @Override
    public void roomReleased(ServiceName service) {}

    @Override
    public boolean requiresRoom(CallPlan plan) {
        return false;
    }
}
