import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * The configuration has grown by many routes and changes often for a minute. Checks afterwards, with the store and the
 * machines left alone, that a request sent later than config_apply_ms after the acknowledgement of a further version is
 * not handled as only an older one allows; and that of the requests without an answer at timeout_ms, at most half have
 * none half a second later.
 */
final class Case3 {
    private static final int ROUTES = 1_050;
    private static final long STORM_MILLIS = 1_500;
    private static final long STORM_PAUSE_MILLIS = 1_500;
    private static final long STORM_GAP_MILLIS = 60;
    private static final long MAX_STORMS_MILLIS = 70_000;
    private static final long REQUEST_INTERVAL_MILLIS = 100;
    private static final int TIMEOUT_MILLIS = 1_000;

    /** Fewer unanswered requests than this are not judged. */
    private static final int MIN_UNANSWERED = 8;

    private static final long CALM_MILLIS = 8_000;
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final long OBSERVED_MILLIS = 8_000;
    private static final String DROPPED = "/doku417/";
    private static final String ADDED = "/bira925/";

    private record Result(String entry, String id, long sentMillis, long tookMillis, Http.Response response) {
        private boolean unansweredAfter(long millis) {
            return response.status() == 0 || tookMillis > millis;
        }
    }

    private Case3() {}

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, Case3::run);
    }

    private static int run(Rig rig) throws Exception {
        Store store = new Store(rig);
        List<String> routes = new ArrayList<>(List.of(
                Config.route("r-book", Config.BOOK, "non_idempotent", Config.LEDGER, TIMEOUT_MILLIS, 1),
                Config.route("r-look", Config.LOOK, "idempotent", Config.LEDGER, TIMEOUT_MILLIS, 2),
                Config.route("r-old", DROPPED, "idempotent", Config.LEDGER, TIMEOUT_MILLIS, 2)));
        store.put(Store.OPERATOR, "config", Config.of(1, routes, Config.KEY));
        Set<String> ranIds = ConcurrentHashMap.newKeySet();
        for (int i = 0; i < 3; i++) {
            new Worker(rig, store, "i-ledger" + i, Config.LEDGER, "shewa-" + "abc".charAt(i), (worker, request, connection, out) -> {
                        ranIds.add(request.header("X-Coriandersill-Attempt-Id"));
                        Rig.sleep(15);
                        Http.respond(out, 200, worker.signed(request), Http.bytes("done"));
                    })
                    .register();
        }
        List<Rig.Entry> entries = new ArrayList<>();
        for (String zone : List.of("shewa-a", "shewa-b")) {
            entries.add(rig.startEntry("edge-" + zone + "-1", zone, store.open().port()));
        }
        for (Rig.Entry entry : entries) {
            rig.awaitReady(entry);
        }
        Rig.sleep(4_000);
        List<Result> results = new CopyOnWriteArrayList<>();
        AtomicBoolean stopped = new AtomicBoolean();
        Thread load = Rig.start("load", () -> load(rig, entries, results, stopped));
        for (int i = 0; i < ROUTES; i++) {
            routes.add(Config.route("r-more" + i, "/more" + i + "/", "idempotent", Config.LEDGER, TIMEOUT_MILLIS, 2));
        }
        long version = 2;
        String grown = Config.of(version, routes, Config.KEY);
        store.put(Store.OPERATOR, "config", grown);
        rig.log("version 2 has " + routes.size() + " routes, " + grown.length() + " bytes");
        Rig.sleep(3_000);
        long stormsEnd = rig.millis() + MAX_STORMS_MILLIS;
        while (rig.millis() < stormsEnd && entries.stream().allMatch(Rig.Entry::isAlive)) {
            long stormEnd = rig.millis() + STORM_MILLIS;
            while (rig.trouble && rig.millis() < stormEnd) {
                version++;
                store.put(Store.OPERATOR, "config", Config.of(version, routes, Config.KEY));
                Rig.sleep(STORM_GAP_MILLIS);
            }
            rig.log("version " + version + " is acknowledged; " + results.size() + " requests so far");
            Rig.sleep(rig.trouble ? STORM_PAUSE_MILLIS : STORM_MILLIS + STORM_PAUSE_MILLIS);
        }
        if (results.stream().noneMatch(result -> result.response().status() == 200)) {
            return Rig.NOT_RUN;
        }
        rig.log("the last storm is over; the store and the machines are left alone");
        Rig.sleep(CALM_MILLIS);
        version++;
        List<String> fewer = new ArrayList<>(routes);
        fewer.removeIf(route -> route.contains("\"r-old\""));
        fewer.add(Config.route("r-new", ADDED, "idempotent", Config.LEDGER, TIMEOUT_MILLIS, 2));
        store.put(Store.OPERATOR, "config", Config.of(version, fewer, Config.KEY));
        long acknowledged = rig.millis();
        rig.log("version " + version + " is acknowledged; it drops route r-old and adds route r-new");
        Rig.sleep(CONFIG_APPLY_MILLIS + 500);
        int broken = 0;
        while (rig.millis() < acknowledged + OBSERVED_MILLIS) {
            for (Rig.Entry entry : entries) {
                broken += check(rig, entry, ranIds, "dropped route", DROPPED, Config.KEY, acknowledged);
                broken += check(rig, entry, ranIds, "added route", ADDED, Config.KEY, acknowledged);
            }
            Rig.sleep(200);
        }
        stopped.set(true);
        load.join();
        rig.log(broken + " requests that were sent later than " + CONFIG_APPLY_MILLIS + " ms after the acknowledgement were"
                + " handled by an older configuration");
        for (Rig.Entry entry : entries) {
            rig.log(entry.name + (entry.isAlive() ? " runs" : " HAS ENDED") + ", readiness " + Client.readiness(entry.readyPort));
            entry.lines("OutOfMemory").stream().limit(3).forEach(line -> rig.log(entry.name + ": " + line));
            List<Result> own = results.stream().filter(result -> result.entry().equals(entry.name)).toList();
            long failed = own.stream().filter(result -> result.response().status() != 200).count();
            rig.log(entry.name + ": " + own.size() + " other requests, " + failed + " without success");
        }
        long atTimeout = results.stream().filter(result -> result.unansweredAfter(TIMEOUT_MILLIS)).count();
        long later = results.stream().filter(result -> result.unansweredAfter(TIMEOUT_MILLIS + 500)).count();
        results.stream()
                .filter(result -> result.unansweredAfter(TIMEOUT_MILLIS + 500))
                .limit(20)
                .forEach(result -> rig.log(result.id() + " at " + result.entry() + ", sent at " + result.sentMillis() + " ms: status "
                        + result.response().status() + " after " + result.tookMillis() + " ms, " + result.response().end()));
        rig.log("of the other requests " + atTimeout + " had no answer at timeout_ms, " + later + " none half a second later");
        boolean unanswered = later >= MIN_UNANSWERED && later * 2 > atTimeout;
        return broken > 0 || unanswered ? Rig.BROKEN : Rig.HELD;
    }

    /** Sends a request; returns 1 if it was handled as only an older configuration allows. */
    private static int check(
            Rig rig, Rig.Entry entry, Set<String> ranIds, String what, String prefix, String key, long acknowledged) {
        String id = Client.newId();
        long after = rig.millis() - acknowledged;
        byte[] request = Client.request("GET", Config.HOST, prefix + "2f", id, key, TIMEOUT_MILLIS, "", "");
        Http.Response response = Client.send(entry.port, request, TIMEOUT_MILLIS + 500);
        boolean old = what.startsWith("dropped") ? ranIds.contains(id) : response.status() == 404;
        rig.log(what + " " + id + " at " + entry.name + ", sent " + after + " ms after the acknowledgement: status "
                + response.status() + (ranIds.contains(id) ? ", run by a worker" : ", not run")
                + (old ? ": BY AN OLDER CONFIGURATION" : ""));
        return old ? 1 : 0;
    }

    private static void load(Rig rig, List<Rig.Entry> entries, List<Result> results, AtomicBoolean stopped) {
        for (int i = 0; !stopped.get(); i++) {
            Rig.Entry entry = entries.get(i % entries.size());
            Rig.start("client", () -> {
                String id = Client.newId();
                long sentMillis = rig.millis();
                byte[] request = Client.request("POST", Config.HOST, Config.BOOK + "2f", id, Config.KEY, 5_000, "", "{}");
                Http.Response response = Client.send(entry.port, request, 5_000);
                results.add(new Result(entry.name, id, sentMillis, rig.millis() - sentMillis, response));
            });
            Rig.sleep(REQUEST_INTERVAL_MILLIS);
        }
    }
}
