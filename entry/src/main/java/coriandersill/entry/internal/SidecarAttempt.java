package coriandersill.entry.internal;

import coriandersill.core.ErrorKind;
import coriandersill.core.InstanceId;
import coriandersill.entry.AttemptObserver;
import coriandersill.routing.CallResult;
import coriandersill.routing.RouteRequest;
import coriandersill.wire.Message;
import coriandersill.wire.WireConnection;
import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/**
 * The current attempt of a call: its number, the sidecar that it was dispatched to, and the messages to that sidecar.
 *
 * <p>Confined to the Vert.x context of the call, except {@link #isDispatchedTo}.
 */
final class SidecarAttempt {
    private final EntryContext entry;
    private final SidecarDirectory directory;
    private final CallPlan plan;
    private final Optional<Message.OnceOnly> onceOnly;
    private volatile Optional<SelectedSidecar> sidecar = Optional.empty();
    private RouteRequest routeRequest;
    private long dispatchedNanos;
    private int number;

    SidecarAttempt(EntryContext entry, SidecarDirectory directory, CallPlan plan, Optional<Message.OnceOnly> onceOnly) {
        this.entry = entry;
        this.directory = directory;
        this.plan = plan;
        this.onceOnly = onceOnly;
    }

    /** Returns the position among the attempts of the call, from 1; 0 before the first one. */
    int number() {
        return number;
    }

    /**
     * Begins the next attempt. The future completes with a sidecar that is none of {@code excluded}, selected on a
     * worker, or without one if none can take the call.
     */
    CompletableFuture<Optional<SelectedSidecar>> begin(Set<InstanceId> excluded) {
        number++;
        routeRequest = new RouteRequest(
                plan.service().name(),
                plan.route(),
                entry.versionSelector().select(plan.service(), plan.affinityHash()),
                entry.settings().zone(),
                plan.affinityHash(),
                plan.promptTokens(),
                plan.predictedTokens(),
                excluded);
        RouteRequest request = routeRequest;
        return entry.workers().submit(() -> directory.select(request));
    }

    /** Returns how long all sidecars of this attempt want no requests; zero if they do not. */
    Duration timeUntilQuietEnds() {
        return directory.timeUntilQuietEnds(routeRequest);
    }

    /** Gives back the place at a sidecar that was selected for a call that had ended meanwhile. */
    void release(SelectedSidecar unused) {
        directory.finished(unused.instance(), routeRequest, CallResult.failed(ErrorKind.CANCELLED));
    }

    /** Makes {@code selected} the sidecar of this attempt. */
    void assignTo(SelectedSidecar selected) {
        sidecar = Optional.of(selected);
        dispatchedNanos = entry.clock().nanos();
    }

    /**
     * Sends the call to its sidecar.
     *
     * @return false if the call may run only once and the sidecar has issued no stamp for it; nothing is sent then
     * @throws java.util.NoSuchElementException if no sidecar is assigned
     */
    boolean dispatch(Duration timeLeft) {
        SelectedSidecar receiver = sidecar.orElseThrow();
        Optional<Message.OnceOnly> stampedOnceOnly = onceOnly.flatMap(claimed ->
                receiver.stamp().map(stamp -> new Message.OnceOnly(claimed.key(), claimed.fencingToken(), stamp)));
        if (onceOnly.isPresent() && stampedOnceOnly.isEmpty()) {
            return false;
        }
        receiver.connection()
                .send(new Message.Dispatch(
                        id(),
                        target(receiver),
                        timeLeft,
                        plan.promptTokens(),
                        plan.maxTokens(),
                        DeliveredTokens.CREDIT_WINDOW_TOKENS,
                        plan.upstreamRequest(),
                        stampedOnceOnly));
        return true;
    }

    private Message.Target target(SelectedSidecar receiver) {
        return new Message.Target(
                plan.workspace().name().value(),
                plan.workspace().weight(),
                plan.service().name().value(),
                receiver.version().value(),
                plan.route().value(),
                0);
    }

    private Message.CallAttempt id() {
        return new Message.CallAttempt(plan.id(), number);
    }

    /** Returns the sidecar of this attempt; empty if there is none yet, or if the attempt has ended. */
    Optional<SelectedSidecar> sidecar() {
        return sidecar;
    }

    /** Returns whether this attempt is at the given sidecar; may be called from any thread. */
    boolean isDispatchedTo(InstanceId instance) {
        return sidecar.filter(found -> found.instance().equals(instance)).isPresent();
    }

    /** Returns whether this attempt was dispatched over {@code connection}. */
    boolean uses(WireConnection connection) {
        return sidecar.filter(found -> found.connection().equals(connection)).isPresent();
    }

    /** Cancels the call at its sidecar, if it is at one. */
    void cancel() {
        sidecar.ifPresent(found -> found.connection().send(new Message.Cancel(id())));
    }

    /** Permits the sidecar, if there is one, to send more tokens. */
    void grantCredit(int tokens) {
        sidecar.ifPresent(found -> found.connection().send(new Message.Credit(id(), tokens)));
    }

    /**
     * Goes on over a new connection to the same sidecar, from token {@code nextIndex} on and with a complete window of
     * credit.
     *
     * @throws java.util.NoSuchElementException if there is no sidecar
     */
    void resume(WireConnection connection, long nextIndex) {
        SelectedSidecar previous = sidecar.orElseThrow();
        sidecar =
                Optional.of(new SelectedSidecar(previous.instance(), previous.version(), connection, previous.stamp()));
        connection.send(new Message.Resume(id(), nextIndex, DeliveredTokens.CREDIT_WINDOW_TOKENS));
    }

    /** Returns when the attempt was dispatched, by the entry's monotonic clock. */
    long dispatchedNanos() {
        return dispatchedNanos;
    }

    /** Ends the attempt and reports its result to the router and the observer. */
    void finish(CallResult result) {
        Optional<SelectedSidecar> ended = sidecar;
        sidecar = Optional.empty();
        ended.ifPresent(found -> {
            directory.finished(found.instance(), routeRequest, result);
            reportToObserver(found, result);
        });
    }

    private void reportToObserver(SelectedSidecar found, CallResult result) {
        boolean failed = result.kind() == CallResult.Kind.FAILED;
        if (failed || result.kind() == CallResult.Kind.OK) {
            entry.observer()
                    .onAttempt(new AttemptObserver.ObservedAttempt(
                            plan.service().name(),
                            found.version(),
                            plan.route(),
                            found.connection().peer().zone(),
                            failed,
                            failed ? -1 : result.firstTokenNanos(),
                            result.tokens() < 2 ? -1 : result.betweenTokensNanos()));
        }
    }
}
