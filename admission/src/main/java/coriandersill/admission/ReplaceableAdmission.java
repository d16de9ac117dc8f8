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
 * Delegates to a controller that can be replaced while calls are running. The old controller drains, while the new one
 * reserves concurrency for the calls that still run under the old one.
 *
 * <pre>{@code
 * ReplaceableAdmission admission = ReplaceableAdmission.closed("no configuration received yet");
 * admission.replaceWith(PredictiveAdmission.builder(clock).concurrency(2, 16).build());
 * }</pre>
 *
 * <p>Until the first controller is set, every request is refused without being run. Thread-safe: the pair of
 * controllers is read and replaced under a lock of rank {@link LockRank#QUOTA}, and no controller is called under it.
 */
public final class ReplaceableAdmission implements AdmissionController {
    private final RankedLock lock = RankedLock.of(LockRank.QUOTA);
    private final CallFailure closedFailure;
    private Controllers controllers = new Controllers(Optional.empty(), Optional.empty());

    private ReplaceableAdmission(String reason) {
        this.closedFailure = CallFailure.of(ErrorKind.UNAVAILABLE, reason);
    }

    private record Controllers(Optional<PredictiveAdmission> current, Optional<PredictiveAdmission> draining) {

        List<PredictiveAdmission> all() {
            List<PredictiveAdmission> all = new ArrayList<>();
            current.ifPresent(all::add);
            draining.ifPresent(all::add);
            return all;
        }
    }

    /** Creates an instance that refuses all requests for {@code reason} until a controller is set. */
    public static ReplaceableAdmission closed(String reason) {
        return new ReplaceableAdmission(Objects.requireNonNull(reason, "reason"));
    }

    /** Makes {@code next} the current controller; returns the decisions on requests that waited at the previous one. */
    public List<AdmissionDecision> replaceWith(PredictiveAdmission next) {
        Controllers before = lock.with(() -> {
            Controllers old = controllers;
            controllers = new Controllers(Optional.of(next), old.current().or(old::draining));
            return old;
        });
        List<AdmissionDecision> decisions = new ArrayList<>();
        before.current().ifPresent(old -> decisions.addAll(old.startDraining()));
        updateReservation();
        return decisions;
    }

    /** Returns the current controller, if there is one. */
    public Optional<PredictiveAdmission> current() {
        return currentControllers().current();
    }

    @Override
    public AdmissionDecision offer(AdmissionRequest request) {
        return currentControllers()
                .current()
                .map(controller -> controller.offer(request))
                .orElseGet(() -> new AdmissionDecision.Refused(request.id(), closedFailure));
    }

    @Override
    public void generated(CallId id, int tokens) {
        currentControllers().all().forEach(controller -> controller.generated(id, tokens));
    }

    @Override
    public List<AdmissionDecision> finished(CallId id, Completion completion) {
        List<AdmissionDecision> decisions = new ArrayList<>();
        currentControllers().all().forEach(controller -> decisions.addAll(controller.finished(id, completion)));
        updateReservation();
        return decisions;
    }

    @Override
    public List<AdmissionDecision> processQueue() {
        List<AdmissionDecision> decisions = new ArrayList<>();
        currentControllers().all().forEach(controller -> decisions.addAll(controller.processQueue()));
        return decisions;
    }

    @Override
    public UpstreamLoad load() {
        Controllers snapshot = currentControllers();
        UpstreamLoad load =
                snapshot.current().map(PredictiveAdmission::load).orElse(new UpstreamLoad(0, 0, 1, true, 0, 0));
        int drainingCalls = snapshot.draining()
                .map(controller -> controller.load().running())
                .orElse(0);
        return new UpstreamLoad(
                load.running() + drainingCalls,
                load.waiting(),
                load.limit(),
                load.cold(),
                load.reservedTokens(),
                load.memoryTokens());
    }

    private Controllers currentControllers() {
        return lock.with(() -> controllers);
    }

    private void updateReservation() {
        Controllers snapshot = currentControllers();
        snapshot.draining().ifPresent(old -> {
            int running = old.load().running();
            snapshot.current().ifPresent(controller -> controller.reserveForPredecessor(running));
            if (running == 0) {
                lock.run(() -> {
                    if (controllers.equals(snapshot)) {
                        controllers = new Controllers(snapshot.current(), Optional.empty());
                    }
                });
            }
        });
    }
}
