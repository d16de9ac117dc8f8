import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.Map;

/**
 * One of six engines, whose streams have no length, gets notice and is gone 1.68 s later, while its generations move. Checks that no
 * stream ends as complete before its last event, and that none has a gap or an event twice.
 */
final class Case2 {
    private static final int EVENTS = 250;
    private static final int GENERATIONS = 18;
    private static final int PROMPT_TOKENS = 6_000;
    private static final int OUTPUT_TOKENS = 1_000;
    private static final long NOTICE_MILLIS = 1_680;
    private static final long DEADLINE_MILLIS = 39_000;

    private Case2() {}

    public static void main(String[] arguments) throws Exception {
        Rig.main(arguments, Case2::run);
    }

    private static int run(Rig rig) throws Exception {
        Store store = new Store(rig);
        store.put(Store.OPERATOR, "config", Config.of(7, Config.routes(), Config.KEY));
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            Engine engine = new Engine(rig, store, "i-scribe" + i, "shewa-" + "abc".charAt(i / 2), EVENTS, false);
            engine.register();
            engines.add(engine);
        }
        Rig.Entry entry = rig.startEntry("edge-shewa-a-1", "shewa-a", store.open().port());
        rig.awaitReady(entry);
        Rig.sleep(1_500);
        Map<String, Http.Response> responses = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < GENERATIONS; i++) {
            String id = Client.newId();
            clients.add(Rig.start("client", () -> responses.put(id, generate(entry, id))));
            Rig.sleep(60);
        }
        Rig.sleep(1_500);
        Engine leaving = engines.stream().max(Comparator.comparingInt(Engine::running)).orElseThrow();
        rig.log(leaving.id + " runs " + leaving.running() + " generations, the most");
        if (rig.trouble) {
            leaving.drain();
            rig.log(leaving.id + " reports draining");
            Rig.sleep(NOTICE_MILLIS);
            leaving.end();
            leaving.unregister();
            rig.log(leaving.id + " is gone, " + NOTICE_MILLIS + " ms after its notice");
        }
        for (Thread client : clients) {
            client.join();
        }
        if (responses.values().stream().noneMatch(response -> response.status() == 200)) {
            return Rig.NOT_RUN;
        }
        int broken = 0;
        for (Map.Entry<String, Http.Response> received : responses.entrySet()) {
            broken += check(rig, received.getKey(), received.getValue());
        }
        entry.lines("GENERATION_MOVE_HINDERED").forEach(line -> rig.log(entry.name + ": " + line));
        return broken > 0 ? Rig.BROKEN : Rig.HELD;
    }

    private static Http.Response generate(Rig.Entry entry, String id) {
        String headers = "X-Coriandersill-Model: m\r\nX-Coriandersill-Token-Usage: " + PROMPT_TOKENS + "," + OUTPUT_TOKENS
                + "\r\nX-Coriandersill-Prompt-Prefix: 5c1e07a2:79," + id.substring(8) + ":" + (PROMPT_TOKENS - 79) + "\r\n";
        return Client.send(
                entry.port,
                Client.request("POST", Config.HOST, Config.DRAFT + "2f", id, Config.KEY, DEADLINE_MILLIS, headers, "{}"),
                DEADLINE_MILLIS);
    }

    /** Returns 1 if the stream breaks the rule. */
    private static int check(Rig rig, String id, Http.Response response) {
        List<Integer> ids = new ArrayList<>();
        for (String line : response.text().split("\n")) {
            if (line.startsWith("id: ")) {
                ids.add(Integer.parseInt(line.substring(4).trim()));
            }
        }
        boolean inOrder = true;
        for (int i = 0; i < ids.size(); i++) {
            inOrder &= ids.get(i) == i + 1;
        }
        boolean falseEnd = response.status() == 200 && response.complete() && ids.size() < EVENTS;
        rig.log("client of " + id + ": status " + response.status() + ", " + ids.size() + " of " + EVENTS + " events, "
                + (inOrder ? "in order" : "NOT in order") + ", stream " + response.end()
                + (falseEnd ? ": ENDED AS COMPLETE BEFORE ITS LAST EVENT" : ""));
        return falseEnd || !inOrder ? 1 : 0;
    }
}
