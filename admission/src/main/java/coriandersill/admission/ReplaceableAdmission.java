package coriandersill.admission;

import coriandersill.core.CallFailure;
import coriandersill.core.CallId;
import coriandersill.core.ErrorKind;
import coriandersill.core.lock.LockRank;
import coriandersill.core.lock.RankedLock;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A gate whose limits may be replaced while calls run: the old gate drains, the new one leaves it room.
 *
 * <pre>{@code
 * SuccessiveAdmission gate = SuccessiveAdmission.closed("no configuration is proven");
 * gate.succeed(PredictiveAdmission.builder(clock).concurrency(2, 16).build());
 * }</pre>
 *
 * <p>Until the first gate is set, every request is refused as not run. Safe for use by many threads: the pair of gates
 * is read under a lock of rank {@link LockRank#QUOTA}, and no gate is called under it.
 */
public final class ReplaceableAdmission implements AdmissionController {
    private final RankedLock lock = RankedLock.of(LockRank.QUOTA);
    private final CallFailure whileClosed;
    private Gates gates = new Gates(Optional.empty(), Optional.empty());

    private ReplaceableAdmission(String reason) {
        this.whileClosed = CallFailure.of(ErrorKind.UNAVAILABLE, reason);
    }

    private record Gates(Optional<PredictiveAdmission> current, Optional<PredictiveAdmission> draining) {

        List<PredictiveAdmission> all() {
            List<PredictiveAdmission> all = new ArrayList<>();
            current.ifPresent(all::add);
            draining.ifPresent(all::add);
            return all;
        }
    }

    /** Returns a gate that refuses all requests for {@code reason} until it is opened. */
    public static ReplaceableAdmission closed(String reason) {
        return new ReplaceableAdmission(Objects.requireNonNull(reason, "reason"));
    }

    /** Lets {@code next} admit from now on; returns the decisions for requests that waited at the gate before it. */
    public List<AdmissionDecision> replaceWith(PredictiveAdmission next) {
        Gates before = lock.with(() -> {
            Gates old = gates;
            gates = new Gates(Optional.of(next), old.current().or(old::draining));
            return old;
        });
        List<AdmissionDecision> decisions = new ArrayList<>();
        before.current().ifPresent(old -> decisions.addAll(old.startDraining()));
        leaveRoom();
        return decisions;
    }

    /** The gate that admits now, if there is one. */
    public Optional<PredictiveAdmission> current() {
        return now().current();
    }

    @Override
    public AdmissionDecision offer(AdmissionRequest request) {
        return now().current()
                .map(gate -> gate.offer(request))
                .orElseGet(() -> new AdmissionDecision.Refused(request.id(), whileClosed));
    }

    @Override
    public void generated(CallId id, int tokens) {
        now().all().forEach(gate -> gate.generated(id, tokens));
    }

    @Override
    public List<AdmissionDecision> finished(CallId id, Completion completion) {
        List<AdmissionDecision> decisions = new ArrayList<>();
        now().all().forEach(gate -> decisions.addAll(gate.finished(id, completion)));
        leaveRoom();
        return decisions;
    }

    @Override
    public List<AdmissionDecision> expire() {
        List<AdmissionDecision> decisions = new ArrayList<>();
        now().all().forEach(gate -> decisions.addAll(gate.expire()));
        return decisions;
    }

    @Override
    public UpstreamLoad load() {
        Gates now = now();
        UpstreamLoad load = now.current().map(PredictiveAdmission::load).orElse(new UpstreamLoad(0, 0, 1, true, 0, 0));
        int draining = now.draining().map(gate -> gate.load().running()).orElse(0);
        return new UpstreamLoad(
                load.running() + draining,
                load.waiting(),
                load.limit(),
                load.cold(),
                load.reservedTokens(),
                load.memoryTokens());
    }

    private Gates now() {
        return lock.with(() -> gates);
    }

    private void leaveRoom() {
        Gates now = now();
        now.draining().ifPresent(old -> {
            int running = old.load().running();
            now.current().ifPresent(gate -> gate.reserveForPredecessor(running));
            if (running == 0) {
                lock.run(() -> {
                    if (gates.equals(now)) {
                        gates = new Gates(now.current(), Optional.empty());
                    }
                });
            }
        });
    }
}
