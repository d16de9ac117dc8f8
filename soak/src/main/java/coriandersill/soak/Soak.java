package coriandersill.soak;

import coriandersill.platform.PlatformFixtures;
import java.io.IOException;
import java.net.http.HttpClient;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/** One soak run: starts entries, generates load, injects faults, and checks the results. */
final class Soak {
    /** How long calls continue after the last fault, for the system to recover. */
    private static final Duration RECOVERY_TIME = Duration.ofSeconds(5);

    /** The fraction of calls in the second half of the recovery time that must succeed. */
    private static final double MIN_SUCCESS_FRACTION = 0.6;

    private static final Duration READINESS_TIMEOUT = Duration.ofSeconds(20);
    private static final long POLL_INTERVAL_MILLIS = 20;
    private static final int STATUS_OK = 200;

    private final long seed;
    private final int entryCount;
    private final Duration faultDuration;
    private final FaultKind kind;
    private final String entryClassPath;

    private Soak(long seed, int entryCount, Duration faultDuration, FaultKind kind, String entryClassPath) {
        this.seed = seed;
        this.entryCount = entryCount;
        this.faultDuration = faultDuration;
        this.kind = kind;
        this.entryClassPath = entryClassPath;
    }

    /**
     * The result of a run.
     *
     * @param calls the number of calls made
     * @param succeeded the number of calls that succeeded
     * @param violations the guarantees that were violated
     * @param faults the injected faults, and failures to inject or end one, each with its time since the start
     * @param entrySummaries a line for each entry with what it said of itself and its memory
     * @param logDirectory the directory of the entries' logs
     */
    record Report(
            int calls,
            long succeeded,
            List<String> violations,
            List<String> faults,
            List<String> entrySummaries,
            Path logDirectory) {}

    /** Returns a run of entries of this build. */
    static Soak of(FaultKind kind, long seed, int entryCount, Duration faultDuration) {
        return new Soak(seed, entryCount, faultDuration, kind, EntryProcess.ownClassPath());
    }

    /** Returns the same run with entries of another build. */
    Soak withEntriesOf(String classPath) {
        return new Soak(seed, entryCount, faultDuration, kind, classPath);
    }

    Report run() throws Exception {
        Random random = new Random(seed);
        Path directory = Files.createTempDirectory("coriandersill-soak-" + seed + "-");
        DisturbanceTracker disturbances = DisturbanceTracker.of(System::nanoTime);
        List<EntryProcess> entries = new ArrayList<>();
        List<LoopbackProxy> storeProxies = new ArrayList<>();
        try (SoakEnvironment environment = SoakEnvironment.start(kind.engineShape(), kind.engineBehaviors(seed))) {
            kind.prepare(environment);
            for (int i = 0; i < entryCount; i++) {
                LoopbackProxy proxy = LoopbackProxy.to(
                        environment.vertx(), environment.store().port());
                EntryProcess entry = EntryProcess.create("entry-" + i, directory, proxy.port(), entryClassPath);
                storeProxies.add(proxy);
                entries.add(entry);
                entry.start();
            }
            for (EntryProcess entry : entries) {
                awaitReady(entry);
                disturbances.started(entry.name());
            }
            return run(new FaultKind.Target(environment, entries, storeProxies, disturbances), random, directory);
        } finally {
            for (EntryProcess entry : entries) {
                entry.kill();
            }
        }
    }

    private Report run(FaultKind.Target target, Random random, Path directory) throws Exception {
        SoakEnvironment environment = target.environment();
        DisturbanceTracker disturbances = target.disturbances();
        Load load = kind.load(target, new Random(random.nextLong()));
        FaultSeries faults = kind.series(target, new Random(random.nextLong()), seed);
        EntryMonitor monitor = new EntryMonitor(target.entries(), disturbances);
        SlowdownMonitor slowdowns = new SlowdownMonitor(environment.store().port(), target.entries(), disturbances);
        slowdowns.start();
        load.start();
        monitor.start();
        faults.start();
        TimeUnit.MILLISECONDS.sleep(faultDuration.toMillis());
        List<String> injectedFaults = faults.stop();
        for (EntryProcess entry : target.entries()) {
            awaitReady(entry);
        }
        TimeUnit.MILLISECONDS.sleep(RECOVERY_TIME.toMillis());
        long checkedFromNanos = System.nanoTime() - RECOVERY_TIME.toNanos() / 2;
        List<CallResult> allCalls = load.stop();
        List<String> violations = new ArrayList<>(monitor.stop());
        slowdowns.stop();
        List<CallResult> calls = slowdowns.withoutSlowed(allCalls);
        violations.addAll(ResultChecker.violations(
                calls, environment.upstreams(), environment.revokedAtNanos(), environment.workspacesOfAllKeys()));
        violations.addAll(StreamChecker.violations(calls, environment.upstreams()));
        violations.addAll(StatementChecker.violations(calls, environment.upstreams(), disturbances));
        violations.addAll(LossChecker.violations(allCalls, environment.upstreams(), disturbances, load::maxAnswerTime));
        violations.addAll(DrainChecker.violations(allCalls, environment.upstreams(), disturbances));
        if (!kind.disturbsAnswers()) {
            violations.addAll(AnswerChecker.violations(
                    calls, environment.upstreams(), environment.revokedAtNanos().keySet(), disturbances));
        }
        violations.addAll(ConfigurationChecker.violations(
                calls, environment.addedAtNanos(), environment.revokedAtNanos(), disturbances));
        List<CallResult> callsAfterRecovery = calls.stream()
                .filter(call -> call.sentAtNanos() > checkedFromNanos
                        && !environment.revokedAtNanos().containsKey(call.key()))
                .toList();
        long succeededAfterRecovery = countSucceeded(callsAfterRecovery);
        if (succeededAfterRecovery < callsAfterRecovery.size() * MIN_SUCCESS_FRACTION) {
            violations.add("after the last fault " + succeededAfterRecovery + " of " + callsAfterRecovery.size()
                    + " calls succeeded; expected at least " + MIN_SUCCESS_FRACTION + " of them");
        }
        List<String> summaries = new ArrayList<>(monitor.summary());
        summaries.add(slowdowns.summary());
        summaries.addAll(StreamSummary.lines(allCalls, environment.upstreams(), disturbances, load::maxAnswerTime));
        summaries.add("calls to which time limits apply: "
                + calls.stream().filter(CallResult::entrySettled).count() + " of " + calls.size());
        summaries.add("connections that ended without a complete answer, for whatever reason: "
                + calls.stream().filter(call -> !call.complete()).count());
        return new Report(calls.size(), countSucceeded(calls), violations, injectedFaults, summaries, directory);
    }

    private static long countSucceeded(List<CallResult> calls) {
        return calls.stream()
                .filter(call -> call.status() == STATUS_OK && call.complete())
                .count();
    }

    /** Waits until an entry is ready. */
    static void awaitReady(EntryProcess entry) throws InterruptedException {
        HttpClient client = HttpClient.newHttpClient();
        long deadlineNanos = System.nanoTime() + READINESS_TIMEOUT.toNanos();
        while (System.nanoTime() < deadlineNanos) {
            try {
                HttpResponse<Void> response = client.send(
                        PlatformFixtures.readinessRequest(entry.readinessPort()),
                        HttpResponse.BodyHandlers.discarding());
                if (response.statusCode() == STATUS_OK) {
                    return;
                }
            } catch (IOException notYet) {
                // Not listening yet; retry until the timeout.
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
        }
        throw new IllegalStateException(entry.name() + ": expected readiness status " + STATUS_OK + " within "
                + READINESS_TIMEOUT.toSeconds() + " s, found none; see its log " + entry.logFile());
    }
}
