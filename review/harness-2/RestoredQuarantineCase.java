import java.nio.file.Path;
import java.util.Set;

/** BUDGET: a store that comes back from a copy ends the quarantine of a part that crashes workers. */
final class RestoredQuarantineCase implements Review.Case {
    private static final int WORKERS = 8;
    private static final double SOUND_PER_SECOND = 3.24;
    private static final int GROUP_SIZE = 3;
    private static final int GROUP_INTERVAL_MILLIS = 1_000;
    private static final int WITHIN_GROUP_MILLIS = 50;
    private static final long UNTIL_AWAY_MILLIS = 5_000;
    private static final long AWAY_MILLIS = 1_000;
    private static final long AFTERWARDS_MILLIS = 15_000;

    @Override
    public boolean run(Path root, Recorder recorder, boolean trouble) throws Exception {
        CrashingPartCase.Counter counter = new CrashingPartCase.Counter(recorder, Deployment.Site.AWAJ_HUB);
        Worker.Kind engine = new Worker.Kind(Deployment.MODEL_SERVICE, "v1", 64, 0, 0, true);
        try (Deployment deployment = new Deployment(root, recorder, Deployment.Site.AWAJ_HUB, 4);
                Clients clients = new Clients(deployment, 9)) {
            for (int i = 0; i < WORKERS; i++) {
                deployment.addWorker(
                        engine, i, counter, Set.of(CrashingPartCase.CRASHING_PART), CrashingPartCase.RESTART_MILLIS);
            }
            deployment.startEntries();
            Thread sound = CrashingPartCase.sendBeside(clients, CrashingPartCase.SHARED_PART, SOUND_PER_SECOND);
            Thread.sleep(4_000);

            deployment.store.takeCopy();
            recorder.note("the copy is taken");
            Thread crashing = sendGroups(clients);
            Thread.sleep(UNTIL_AWAY_MILLIS);
            recorder.note("quarantined before the store is away: "
                    + deployment.store.newest("keyed.entries", "part/" + CrashingPartCase.CRASHING_PART));
            if (trouble) {
                counter.unstable();
                deployment.store.leave();
                recorder.note("the store is away");
                Thread.sleep(AWAY_MILLIS);
                deployment.store.returnFromCopy();
                counter.stable();
                recorder.note("the store is back from the copy");
                // What the operator and the workers wrote is written again.
                recorder.line("operator", "configuration again at offset " + deployment.writeConfiguration());
                deployment.workers.forEach(Worker::writeAgain);
            } else {
                Thread.sleep(AWAY_MILLIS);
            }
            Thread.sleep(AFTERWARDS_MILLIS);
            crashing.interrupt();
            sound.interrupt();
            Thread.sleep(1_000);
            return counter.lateRequests() > CrashingPartCase.MAX_LATE_REQUESTS;
        }
    }

    /** Sends a few requests with the part, one shortly after the other, and again after a pause. */
    private static Thread sendGroups(Clients clients) {
        String parts = CrashingPartCase.SHARED_PART + "," + CrashingPartCase.CRASHING_PART + ":200";
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    for (int i = 0; i < GROUP_SIZE; i++) {
                        clients.sendGeneration(parts, 80);
                        Thread.sleep(WITHIN_GROUP_MILLIS);
                    }
                    Thread.sleep(GROUP_INTERVAL_MILLIS - GROUP_SIZE * WITHIN_GROUP_MILLIS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
