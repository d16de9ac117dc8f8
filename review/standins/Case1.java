import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry of another writer appears among the workers' entries in the store. Later the workers are replaced one after
 * the other, each of them announced by its entry. Checks that no request reaches a worker later than drain_ms after the
 * store has accepted that it drains.
 */
final class Case1 {
    private static final long DRAIN_MILLIS = 2_000;
    private static final long SERVES_AFTER_NOTICE_MILLIS = 4_500;
    private static final long REQUEST_INTERVAL_MILLIS = 50;
    private static final long DEADLINE_MILLIS = 1_000;

    private record Arrival(String worker, String id, long atMillis) {}

    private final Rig rig;
    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final AtomicBoolean stopped = new AtomicBoolean();

    private Case1(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, rig -> new Case1(rig).run());
    }

    private int run() throws Exception {
        Store store = new Store(rig);
        store.put(Store.OPERATOR, "config", Config.of(7, Config.routes(), Config.KEY));
        List<Worker> old = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            old.add(worker(store, "i-old" + i, i));
        }
        Rig.Entry first = rig.startEntry("edge-shewa-a-1", "shewa-a", store.open().port());
        Rig.Entry second = rig.startEntry("edge-shewa-b-1", "shewa-b", store.open().port());
        rig.awaitReady(first);
        rig.awaitReady(second);
        Rig.sleep(2_000);
        AtomicInteger[] counts = {new AtomicInteger(), new AtomicInteger()};
        Thread load = Rig.start("load", () -> load(List.of(first, second), counts));
        Rig.sleep(3_000);
        if (rig.trouble) {
            long offset = store.put(
                    Store.SERVERS, Http.bytes("probe/ledger-1"), new byte[] {(byte) 0xff, (byte) 0xfe, 0, 0x7b});
            rig.log("another writer's entry probe/ledger-1, of bytes that can't be read, at offset " + offset);
        }
        Rig.sleep(4_000);
        List<Long> acceptedAt = new ArrayList<>();
        for (int i = 0; i < old.size(); i++) {
            worker(store, "i-new" + i, i);
            rig.log("i-new" + i + " registers");
            Rig.sleep(2_000);
            Worker leaving = old.get(i);
            leaving.drain();
            acceptedAt.add(rig.millis());
            rig.log(leaving.id + " reports draining; the store has accepted it");
            Rig.start("leave", () -> {
                Rig.sleep(SERVES_AFTER_NOTICE_MILLIS);
                leaving.end();
                leaving.unregister();
                rig.log(leaving.id + " has served for " + SERVES_AFTER_NOTICE_MILLIS + " ms more and exits");
            });
        }
        Rig.sleep(SERVES_AFTER_NOTICE_MILLIS + 2_000);
        int okBefore = counts[0].get();
        int failedBefore = counts[1].get();
        Rig.sleep(4_000);
        stopped.set(true);
        load.join();
        rig.log("of the last 4 s, after all old workers have exited: " + (counts[0].get() - okBefore)
                + " requests served, " + (counts[1].get() - failedBefore) + " not");
        if (arrivals.isEmpty()) {
            return Rig.NOT_RUN;
        }
        int late = 0;
        for (int i = 0; i < old.size(); i++) {
            String name = old.get(i).id;
            long bound = acceptedAt.get(i) + DRAIN_MILLIS;
            List<Arrival> after = arrivals.stream()
                    .filter(arrival -> arrival.worker().equals(name) && arrival.atMillis() > bound)
                    .toList();
            late += after.size();
            rig.log(name + ": " + after.size() + " requests arrived later than " + DRAIN_MILLIS + " ms after the notice"
                    + (after.isEmpty() ? "" : ", the last " + (after.get(after.size() - 1).atMillis() - acceptedAt.get(i)) + " ms after it"));
        }
        for (Rig.Entry entry : List.of(first, second)) {
            entry.lines("DOCUMENT_UNREADABLE").forEach(line -> rig.log(entry.name + ": " + line));
            entry.lines("IllegalArgumentException").stream().limit(2).forEach(line -> rig.log(entry.name + ": " + line));
        }
        return late > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private Worker worker(Store store, String id, int zone) throws Exception {
        return new Worker(rig, store, id, Config.LEDGER, "shewa-" + "abc".charAt(zone), (worker, request, connection, out) -> {
                    String attempt = request.header("X-Coriandersill-Attempt-Id");
                    arrivals.add(new Arrival(id, attempt, rig.millis()));
                    rig.log(id + " runs " + attempt);
                    Rig.sleep(15);
                    Map<String, String> headers = worker.signed(request);
                    Http.respond(out, 200, headers, Http.bytes("booked " + attempt));
                })
                .register();
    }

    private void load(List<Rig.Entry> entries, AtomicInteger[] counts) {
        for (int i = 0; !stopped.get(); i++) {
            Rig.Entry entry = entries.get(i % entries.size());
            boolean book = i % 3 != 0;
            Rig.start("client", () -> {
                String id = Client.newId();
                Http.Response response = Client.send(
                        entry.port,
                        Client.request(
                                book ? "POST" : "GET",
                                Config.HOST,
                                (book ? Config.BOOK : Config.LOOK) + "2f",
                                id,
                                Config.KEY,
                                DEADLINE_MILLIS,
                                "",
                                "{}"),
                        DEADLINE_MILLIS + 500);
                counts[response.status() == 200 && response.complete() ? 0 : 1].incrementAndGet();
                if (response.status() != 200) {
                    rig.log(entry.name + " answers " + id + " with " + response.status() + " " + response.text().trim()
                            + " (" + response.end() + ")");
                }
            });
            Rig.sleep(REQUEST_INTERVAL_MILLIS);
        }
        Rig.sleep(DEADLINE_MILLIS + 600);
    }
}
