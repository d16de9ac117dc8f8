package coriandersill.entry.internal;

import coriandersill.configuration.Configuration;
import coriandersill.configuration.ServiceDocument;
import coriandersill.configuration.ServiceKind;
import coriandersill.configuration.WorkspaceDocument;
import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.core.ServiceName;
import coriandersill.events.EventCode;
import coriandersill.events.LoopGuard;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Operations that the HTTP handlers share: authentication, quota, drain, and the table of open calls. */
final class CallService {
    private static final long DRAIN_POLL_INTERVAL_MILLIS = 20;
    private static final Duration DRAIN_STALL_BOUND = Duration.ofSeconds(1);

    private final EntryContext entry;
    private final SidecarDirectory directory;
    private final Authenticator authenticator;
    private final CallTable calls = new CallTable();
    private final LoopGuard drainGuard;
    private volatile boolean draining;

    CallService(EntryContext entry, SidecarDirectory directory) {
        this.entry = entry;
        this.directory = directory;
        this.authenticator = new Authenticator(entry.configuration());
        this.drainGuard = entry.loops().register("drain of the calls", DRAIN_STALL_BOUND);
    }

    EntryContext entry() {
        return entry;
    }

    /** Throws a {@link CallFailure} of kind {@code DRAINING} if the entry is draining. */
    void checkNotDraining() {
        if (draining) {
            throw CallFailure.of(ErrorKind.DRAINING, "the entry drains").withRetryAfter(Duration.ofSeconds(1));
        }
    }

    /**
     * Returns the workspace of the caller.
     *
     * @throws CallFailure {@code UNAUTHENTICATED} without a known key
     */
    WorkspaceDocument authenticate(String authorization) {
        return authenticator.authenticate(authorization);
    }

    /**
     * Returns a service that the workspace may use.
     *
     * @throws CallFailure {@code NOT_FOUND} or {@code FORBIDDEN}
     */
    ServiceDocument service(WorkspaceDocument workspace, String name, ServiceKind kind) {
        Configuration configuration = entry.configuration().get();
        ServiceDocument service = parseName(name)
                .flatMap(configuration::service)
                .filter(found -> found.kind() == kind)
                .orElseThrow(() -> CallFailure.of(
                        ErrorKind.NOT_FOUND,
                        "service: expected a declared " + kind + " service, found \"" + name + "\""));
        if (!workspace.services().contains(service.name())) {
            throw CallFailure.of(
                    ErrorKind.FORBIDDEN, "workspace " + workspace.name() + " may not use service " + service.name());
        }
        return service;
    }

    private static Optional<ServiceName> parseName(String name) {
        try {
            return Optional.of(ServiceName.of(name));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    CallId newCallId() {
        return CallId.random(entry.random());
    }

    long deadlineNanos() {
        return entry.clock().nanos() + entry.settings().firstTokenDeadline().toNanos();
    }

    /**
     * Reserves a call and its predicted tokens in the workspace's quota.
     *
     * @throws CallFailure {@code QUOTA_EXCEEDED} if the quota does not allow the call
     */
    void acquireQuota(CallPlan plan) {
        entry.quota()
                .tryAcquire(plan.workspace().name(), plan.predictedTokens())
                .ifPresent(failure -> {
                    throw failure;
                });
    }

    /** Settles a reserved call by the tokens that it actually used; a plain call uses none. */
    void settleQuota(CallPlan plan, long tokens) {
        // Half of the int range, so that adding the prompt tokens cannot overflow.
        int usedTokens = plan.upstreamRequest().generation()
                ? plan.promptTokens() + (int) Math.min(tokens, Integer.MAX_VALUE / 2)
                : 0;
        entry.quota().settle(plan.workspace().name(), plan.predictedTokens(), usedTokens);
    }

    /** Returns a driver for a call, confined to the current Vert.x context and not yet started. */
    CallDriver newDriver(CallPlan plan, Optional<Message.OnceOnly> onceOnly, ResponseSink sink) {
        entry.metrics().counter("calls.started").inc();
        return new CallDriver(entry, directory, calls, plan, onceOnly, sink);
    }

    /**
     * Passes a message to the open call that it concerns. Drops it if there is none, and counts it unless it is an
     * {@code Accepted}, which needs no action.
     */
    void received(WireConnection connection, Message.CallMessage message) {
        Optional<CallDriver> call = calls.find(message.attempt().callId());
        if (call.isPresent()) {
            call.get().received(connection, message);
        } else if (!(message instanceof Message.Accepted)) {
            entry.metrics().counter("frames.dropped").inc();
        }
    }

    void connected(WireConnection connection) {
        calls.openCalls().forEach(call -> call.reconnected(connection));
    }

    void disconnected(WireConnection connection) {
        calls.openCalls().forEach(call -> call.disconnected(connection));
    }

    /** Returns whether no open call is dispatched to the given sidecar. */
    boolean hasNoCallsAt(InstanceId instance) {
        return calls.openCalls().stream().noneMatch(call -> call.isDispatchedTo(instance));
    }

    int openCalls() {
        return calls.size();
    }

    /**
     * Stops accepting calls; completes with true once no call is open, or with false if calls were aborted after
     * {@code grace}.
     */
    CompletableFuture<Boolean> drain(Duration grace) {
        draining = true;
        recordOpenCalls(EventCode.DAEMON_DRAINING);
        CompletableFuture<Boolean> drained = new CompletableFuture<>();
        long deadlineNanos = System.nanoTime() + grace.toNanos();
        drainGuard.begin();
        continueDrain(deadlineNanos, drained);
        return drained;
    }

    boolean isDraining() {
        return draining;
    }

    /** Records how many calls are open; an error in the event log does not end the drain. */
    private void recordOpenCalls(EventCode code) {
        drainGuard.run(() -> entry.events().record(code, Map.of("open", calls.size())));
    }

    private void continueDrain(long deadlineNanos, CompletableFuture<Boolean> drained) {
        boolean empty = calls.size() == 0;
        if (empty || System.nanoTime() - deadlineNanos >= 0) {
            drainGuard.forEach(calls.openCalls(), CallDriver::abort);
            if (!empty) {
                recordOpenCalls(EventCode.DRAIN_DEADLINE);
            }
            drainGuard.rest();
            drained.complete(empty);
        } else {
            drainGuard.markProgress();
            Runnable next = () ->
                    entry.vertx().setTimer(DRAIN_POLL_INTERVAL_MILLIS, tick -> continueDrain(deadlineNanos, drained));
            drainGuard.run(next, next);
        }
    }
}
