import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One entry is partitioned from the store just before a configuration that drops a route and a key. Checks that the
 * other entry, which is in touch all the while, handles no request by the old configuration that was sent later than
 * config_apply_ms after the acknowledgement.
 */
final class Case5 {
    private static final long CONFIG_APPLY_MILLIS = 2_000;
    private static final long CUT_MILLIS = 5_000;
    private static final long OBSERVED_MILLIS = 4_500;
    private static final long REQUEST_INTERVAL_MILLIS = 25;
    private static final String DROPPED = "/doku417/";
    private static final String ADDED = "/bira925/";
    private static final Pattern SOURCE = Pattern.compile("\"to\":\"(edge-[a-z0-9-]+)\"");

    private record Sent(String id, String what, long sentMillis, Http.Response response) {}

    private Case5() {}

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, Case5::run);
    }

    private static int run(Rig rig) throws Exception {
        Store store = new Store(rig);
        List<String> routes = Config.routes();
        List<String> withOld = new ArrayList<>(routes);
        withOld.add(Config.route("r-old", DROPPED, "idempotent", Config.LEDGER, 5_000, 2));
        store.put(Store.OPERATOR, "config", Config.of(7, withOld, Config.KEY, Config.SECOND_KEY));
        Map<String, Long> ranAt = new ConcurrentHashMap<>();
        for (int i = 0; i < 3; i++) {
            new Worker(rig, store, "i-ledger" + i, Config.LEDGER, "shewa-" + "abc".charAt(i), (worker, request, connection, out) -> {
                        String attempt = request.header("X-Coriandersill-Attempt-Id");
                        ranAt.put(attempt, rig.millis());
                        Rig.sleep(15);
                        Http.respond(out, 200, worker.signed(request), Http.bytes("looked up " + attempt));
                    })
                    .register();
        }
        Map<String, Store.Access> accesses = new ConcurrentHashMap<>();
        List<Rig.Entry> entries = new ArrayList<>();
        for (String zone : List.of("shewa-a", "shewa-b")) {
            String name = "edge-" + zone + "-1";
            accesses.put(name, store.open());
            entries.add(rig.startEntry(name, zone, accesses.get(name).port()));
        }
        for (Rig.Entry entry : entries) {
            rig.awaitReady(entry);
        }
        String cutName = sourceOf(rig, entries);
        Rig.sleep(3_000);
        Rig.Entry observed = entries.stream().filter(entry -> !entry.name.equals(cutName)).findFirst().orElseThrow();
        rig.log("the entry to be cut is " + cutName + ", the one in touch is " + observed.name);
        List<String> first = new ArrayList<>(withOld);
        first.add(Config.route("r-other", "/other/", "idempotent", Config.LEDGER, 5_000, 2));
        store.put(Store.OPERATOR, "config", Config.of(8, first, Config.KEY, Config.SECOND_KEY));
        rig.log("version 8 is acknowledged; it adds a route");
        Rig.sleep(200);
        if (rig.trouble) {
            accesses.get(cutName).silent = true;
            rig.log(cutName + " is partitioned from the store");
        }
        Rig.sleep(130);
        List<String> second = new ArrayList<>(routes);
        second.add(Config.route("r-new", ADDED, "idempotent", Config.LEDGER, 5_000, 2));
        store.put(Store.OPERATOR, "config", Config.of(9, second, Config.KEY));
        long acknowledged = rig.millis();
        rig.log("version 9 is acknowledged; it drops route r-old and a key, and adds route r-new");
        List<Sent> all = new CopyOnWriteArrayList<>();
        List<Thread> clients = new ArrayList<>();
        while (rig.millis() < acknowledged + OBSERVED_MILLIS) {
            clients.add(send(rig, observed, all, "dropped route", DROPPED, Config.KEY));
            clients.add(send(rig, observed, all, "dropped key", Config.LOOK, Config.SECOND_KEY));
            clients.add(send(rig, observed, all, "added route", ADDED, Config.KEY));
            Rig.sleep(REQUEST_INTERVAL_MILLIS);
        }
        Rig.sleep(CUT_MILLIS - OBSERVED_MILLIS);
        accesses.get(cutName).silent = false;
        for (Thread client : clients) {
            client.join();
        }
        int broken = 0;
        for (Sent sent : all) {
            long after = sent.sentMillis() - acknowledged;
            boolean old = sent.what().startsWith("dropped") ? ranAt.containsKey(sent.id()) : sent.response().status() == 404;
            boolean breaks = old && after > CONFIG_APPLY_MILLIS && sent.what().endsWith("route");
            broken += breaks ? 1 : 0;
            rig.log(sent.what() + " " + sent.id() + " sent " + after + " ms after the acknowledgement: status "
                    + sent.response().status() + (ranAt.containsKey(sent.id()) ? ", run by a worker" : ", not run")
                    + (breaks ? ": BY THE OLD CONFIGURATION" : ""));
        }
        rig.log(broken + " requests that were sent later than " + CONFIG_APPLY_MILLIS + " ms after the acknowledgement were"
                + " handled by the old configuration");
        observed.lines("FEED_SOURCE_CHANGED").forEach(line -> rig.log(observed.name + ": " + line));
        observed.lines("CONFIGURATION_APPLIED").forEach(line -> rig.log(observed.name + ": " + line));
        return broken > 0 ? Rig.BROKEN : Rig.HELD;
    }

    /** Returns the entry from which the other one reads the operator's topic, by the log of that one. */
    private static String sourceOf(Rig rig, List<Rig.Entry> entries) throws Exception {
        for (long end = rig.millis() + 20_000; rig.millis() < end; Rig.sleep(200)) {
            for (Rig.Entry entry : entries) {
                for (String line : entry.lines("FEED_SOURCE_CHANGED")) {
                    Matcher matcher = SOURCE.matcher(line);
                    if (line.contains(Store.OPERATOR) && matcher.find()) {
                        return matcher.group(1);
                    }
                }
            }
        }
        throw new IllegalStateException("no entry reads the operator's topic from another one");
    }

    private static Thread send(Rig rig, Rig.Entry entry, List<Sent> all, String what, String prefix, String key) {
        return Rig.start("client", () -> {
            String id = Client.newId();
            long sentMillis = rig.millis();
            byte[] request = Client.request("GET", Config.HOST, prefix + "2f", id, key, 1_000, "", "");
            all.add(new Sent(id, what, sentMillis, Client.send(entry.port, request, 1_500)));
        });
    }
}
