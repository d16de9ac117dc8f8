import java.nio.file.Path;
import java.util.List;
import java.util.Set;

/** RECOVER: an entry that was frozen at the end of a rollout writes its own end over the agreed one. */
final class FrozenRolloutCase implements Review.Case {
    private static final int ROLLOUT_SECONDS = 12;
    private static final long FREEZE_AFTER_MILLIS = 8_200;
    private static final long FREEZE_MILLIS = 4_500;
    private static final double PER_SECOND = 25.6;

    @Override
    public boolean run(Path root, Recorder recorder, boolean trouble) throws Exception {
        Worker.Listener ignored = (worker, request) -> {};
        Worker.Kind v1 = new Worker.Kind(Deployment.PLAIN_SERVICE, "v1", 6, 43, 0, false);
        Worker.Kind v2 = new Worker.Kind(Deployment.PLAIN_SERVICE, "v2", 6, 43, 0, false);
        try (Deployment deployment = new Deployment(root, recorder, Deployment.Site.SILVERBEND_OPS, 3);
                Clients clients = new Clients(deployment, 6)) {
            for (int i = 0; i < 3; i++) {
                deployment.addWorker(v1, i, ignored, Set.of(), 0);
            }
            deployment.startEntries();
            Thread traffic = clients.sendPlainBeside(PER_SECOND);
            Thread.sleep(4_000);

            List<Worker> old = List.copyOf(deployment.workers);
            deployment.orderRollout(Deployment.PLAIN_SERVICE, "v2", ROLLOUT_SECONDS);
            for (int i = 0; i < 3; i++) {
                deployment.addWorker(v2, 3 + i, ignored, Set.of(), 0);
            }
            Thread.sleep(FREEZE_AFTER_MILLIS);
            if (trouble) {
                Entry frozen = deployment.entries.get(2);
                frozen.signal("STOP");
                Thread thaw = new Thread(() -> {
                    try {
                        Thread.sleep(FREEZE_MILLIS);
                        frozen.signal("CONT");
                    } catch (Exception e) {
                        recorder.note("could not continue: " + e);
                    }
                });
                thaw.setDaemon(true);
                thaw.start();
            }
            if (!deployment.awaitEnd(Deployment.PLAIN_SERVICE, "v2", 6).equals("completed")) {
                throw new IllegalStateException("expected the good version to be completed, found "
                        + deployment.rolloutState(Deployment.PLAIN_SERVICE, "v2"));
            }
            // On completed, the platform stops the old workers at once.
            old.forEach(Worker::stop);
            Thread.sleep(8_000);
            recorder.note("ends of the rollout among entries: "
                    + deployment.store.history("keyed.entries", "rollout/" + Deployment.PLAIN_SERVICE));
            double beforeFault = recorder.seconds();

            // The final fault: all processes are killed, right after one more change was acknowledged.
            deployment.putConfiguration(1_000);
            for (Entry entry : deployment.entries) {
                entry.kill();
            }
            Thread.sleep(900);
            for (Entry entry : deployment.entries) {
                entry.start();
            }
            double back = recorder.seconds();
            Thread.sleep(Deployment.RECOVERY_SECONDS * 1_000L + 8_000);
            traffic.interrupt();
            Thread.sleep(1_500);

            double before = share(clients.calls(call -> call.sentAtSeconds() < beforeFault - 1));
            double after = share(clients.calls(
                    call -> call.sentAtSeconds() > back + Deployment.RECOVERY_SECONDS));
            recorder.note(String.format(
                    "served before the final fault: %.3f, later than %d s after it: %.3f",
                    before, Deployment.RECOVERY_SECONDS, after));
            if (before < 0.25) {
                throw new IllegalStateException("expected a quarter to be served before the final fault");
            }
            return after < 0.25;
        }
    }

    private static double share(List<Clients.Call> calls) {
        return calls.stream().filter(Clients.Call::served).count() / (double) Math.max(1, calls.size());
    }
}
