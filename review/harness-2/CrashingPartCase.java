import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/** BUDGET: requests with a part that crashes workers come a few times a second, and go on reaching workers. */
final class CrashingPartCase implements Review.Case {
    static final String SHARED_PART = "5c1e07a2:79";
    static final String CRASHING_PART = "bad0c0de";
    static final int RESTART_MILLIS = 4_000;
    static final int MAX_LATE_REQUESTS = 3;
    static final int COUNTED_CRASH = 5;

    private static final Deployment.Site SITE = Deployment.Site.AWAJ_HUB_GROWN;
    private static final int WORKERS = 36;
    private static final int RESTARTED_AFTER_MILLIS = 3_000;
    private static final int SECONDS = 24;
    private static final double CRASHING_PER_SECOND = 10;
    private static final double SOUND_PER_SECOND = 4.5;

    /** When requests with the crashing part began to run at workers, and when workers crashed. */
    static final class Counter implements Worker.Listener {
        private final Recorder recorder;
        private final Deployment.Site site;
        private final List<Double> runs = new CopyOnWriteArrayList<>();
        private final List<Double> crashes = new CopyOnWriteArrayList<>();
        private volatile double unstableFrom = Double.MAX_VALUE;
        private volatile double inTouchFrom = Double.MAX_VALUE;

        Counter(Recorder recorder, Deployment.Site site) {
            this.recorder = recorder;
            this.site = site;
        }

        @Override
        public void ran(Worker worker, Http.Request request) {
            if (Set.of(Worker.sharedParts(request)).contains(CRASHING_PART)) {
                runs.add(recorder.seconds());
            }
        }

        @Override
        public void crashed(Worker worker) {
            crashes.add(recorder.seconds());
        }

        /** The store is disturbed from now on, so that no machine is in touch. */
        void unstable() {
            unstableFrom = recorder.seconds();
        }

        /** The store is undisturbed from now on; machines are in touch {@code contact_ms} later. */
        void stable() {
            inTouchFrom = recorder.seconds() + site.contactMillis() / 1_000.0;
        }

        private boolean isInTouch(double at) {
            return at < unstableFrom || at >= inTouchFrom;
        }

        /**
         * Returns how many reached workers later than {@code contact_ms} after the fifth, sent by machines in touch, and
         * writes all. The entries themselves are never disturbed.
         */
        long lateRequests() {
            recorder.note("requests with the part that ran at workers: " + runs.size() + ", at " + text(runs));
            recorder.note("crashes: " + crashes.size() + ", at " + text(crashes));
            if (crashes.size() < COUNTED_CRASH) {
                return 0;
            }
            double from = crashes.get(COUNTED_CRASH - 1) + site.contactMillis() / 1_000.0;
            long late = runs.stream().filter(at -> at > from && isInTouch(at)).count();
            recorder.note(String.format(
                    "later than %.2f, contact_ms after the fifth, by machines in touch: %d; by others: %d",
                    from, late, runs.stream().filter(at -> at > from && !isInTouch(at)).count()));
            return late;
        }

        private static List<String> text(List<Double> times) {
            return times.stream().map(at -> String.format("%.2f", at)).toList();
        }
    }

    @Override
    public boolean run(Path root, Recorder recorder, boolean trouble) throws Exception {
        Counter counter = new Counter(recorder, SITE);
        Worker.Kind engine = new Worker.Kind(Deployment.MODEL_SERVICE, "v1", 24, 0, 0, true);
        try (Deployment deployment = new Deployment(root, recorder, SITE, 4);
                Clients clients = new Clients(deployment, 7)) {
            for (int i = 0; i < WORKERS; i++) {
                deployment.addWorker(engine, i, counter, Set.of(CRASHING_PART), RESTARTED_AFTER_MILLIS);
            }
            deployment.startEntries();
            Thread sound = sendBeside(clients, SHARED_PART, SOUND_PER_SECOND);
            Thread.sleep(4_000);
            Thread crashing = trouble
                    ? sendBeside(clients, SHARED_PART + "," + CRASHING_PART + ":200", CRASHING_PER_SECOND)
                    : new Thread();
            Thread.sleep(SECONDS * 1_000L);
            crashing.interrupt();
            sound.interrupt();
            Thread.sleep(1_000);
            return counter.lateRequests() > MAX_LATE_REQUESTS;
        }
    }

    /** Sends generations at a steady rate, each a little early or late, until interrupted. */
    static Thread sendBeside(Clients clients, String sharedParts, double perSecond) {
        Random random = new Random(sharedParts.hashCode());
        Thread thread = new Thread(() -> {
            try {
                while (true) {
                    clients.sendGeneration(sharedParts, 80);
                    Thread.sleep((long) (1_000 / perSecond * (0.9 + 0.2 * random.nextDouble())));
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
