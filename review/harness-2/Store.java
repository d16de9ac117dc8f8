import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in for the platform's store: keyed topics with one partition, groups, and restoration from a copy. */
final class Store implements AutoCloseable {
    private static final int LATENCY_MILLIS = 2;
    private static final int PARTITIONS = 12;
    private static final int MAX_PAGE_RECORDS = 500;

    private record Entry(String key, byte[] value) {}

    private static final class Group {
        private final Map<String, Long> expiresAtMillis = new LinkedHashMap<>();
        private final Map<Integer, String> owners = new HashMap<>();
        private long generation;
    }

    private final Http.Server server;
    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final Map<String, Group> groups = new HashMap<>();
    private Map<String, List<Entry>> copy = Map.of();
    private volatile boolean away;
    private volatile long era = 1;

    Store(String host) throws IOException {
        server = new Http.Server(host, 0, this::handle);
    }

    int port() {
        return server.port();
    }

    /** Appends a record as an operator or a worker does; the return is the acknowledgement. */
    synchronized long put(String topic, String key, String value) {
        List<Entry> entries = topics.computeIfAbsent(topic, name -> new ArrayList<>());
        entries.add(new Entry(key, value.getBytes(StandardCharsets.UTF_8)));
        notifyAll();
        return entries.size() - 1;
    }

    synchronized String newest(String topic, String key) {
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        for (int i = entries.size() - 1; i >= 0; i--) {
            if (entries.get(i).key().equals(key)) {
                return entries.get(i).value().length == 0 ? null : text(entries.get(i));
            }
        }
        return null;
    }

    /** Returns all records of a key, oldest first, each preceded by its offset. */
    synchronized List<String> history(String topic, String key) {
        List<String> found = new ArrayList<>();
        List<Entry> entries = topics.getOrDefault(topic, List.of());
        for (int i = 0; i < entries.size(); i++) {
            if (entries.get(i).key().equals(key)) {
                found.add(i + " " + text(entries.get(i)));
            }
        }
        return found;
    }

    synchronized void takeCopy() {
        Map<String, List<Entry>> taken = new HashMap<>();
        topics.forEach((topic, entries) -> taken.put(topic, List.copyOf(entries)));
        copy = taken;
    }

    /** The store is away: calls get 503, and nothing is done. */
    void leave() {
        away = true;
    }

    /** The store is back from its copy: later records are gone, and their offsets are given out again. */
    synchronized void returnFromCopy() {
        topics.clear();
        copy.forEach((topic, entries) -> topics.put(topic, new ArrayList<>(entries)));
        era++;
        away = false;
        notifyAll();
    }

    @Override
    public void close() {
        try {
            server.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private boolean handle(Http.Request request, OutputStream out, Socket connection) throws IOException {
        pause(LATENCY_MILLIS);
        if (away) {
            respond(out, 503, new byte[0]);
            return true;
        }
        switch (request.path()) {
            case "/v1/log-append" -> append(request, out);
            case "/v1/log-read" -> read(request, out);
            case "/v1/log-newest" -> readNewest(request, out);
            case "/v1/log-join" -> join(request, out);
            default -> respond(out, 404, new byte[0]);
        }
        return true;
    }

    private void respond(OutputStream out, int status, byte[] body) throws IOException {
        Http.respond(out, status, "Store-Era: " + era + "\r\nContent-Type: application/json\r\n", body);
    }

    private void append(Http.Request request, OutputStream out) throws IOException {
        String topic = request.parameter("topic");
        if (topic.equals("keyed.op") || topic.equals("keyed.servers")) {
            respond(out, 403, new byte[0]);
            return;
        }
        int offset;
        int end;
        synchronized (this) {
            List<Entry> entries = topics.computeIfAbsent(topic, name -> new ArrayList<>());
            offset = entries.size();
            String at = request.parameter("at");
            if (at != null && Long.parseLong(at) != offset) {
                respond(out, 412, bytes("{\"end_offset\":" + offset + "}"));
                return;
            }
            ByteBuffer body = ByteBuffer.wrap(request.body());
            while (body.hasRemaining()) {
                int length = body.getInt();
                byte[] key = new byte[body.get() & 0xff];
                body.get(key);
                byte[] value = new byte[length - 1 - key.length];
                body.get(value);
                entries.add(new Entry(new String(key, StandardCharsets.UTF_8), value));
            }
            end = entries.size();
            notifyAll();
        }
        respond(out, 200, bytes("{\"offset\":" + offset + ",\"end_offset\":" + end + "}"));
    }

    private void read(Http.Request request, OutputStream out) throws IOException {
        int from = Integer.parseInt(request.parameter("source"));
        String wait = request.parameter("wait_ms");
        long untilMillis = now() + (wait == null ? 0 : Long.parseLong(wait));
        byte[] body;
        synchronized (this) {
            long readEra = era;
            while (from >= size(request) && now() < untilMillis && era == readEra && !away) {
                try {
                    wait(Math.max(1, untilMillis - now()));
                } catch (InterruptedException e) {
                    throw new IOException(e);
                }
            }
            body = away || from > size(request) ? null : page(request, from);
        }
        if (body == null) {
            respond(out, away ? 503 : 410, bytes("{\"start_offset\":0}"));
        } else {
            respond(out, 200, body);
        }
    }

    private int size(Http.Request request) {
        return topics.getOrDefault(request.parameter("topic"), List.of()).size();
    }

    private byte[] page(Http.Request request, int from) {
        List<Entry> entries = topics.getOrDefault(request.parameter("topic"), List.of());
        int to = Math.min(entries.size(), from + MAX_PAGE_RECORDS);
        int bytes = 16;
        for (Entry entry : entries.subList(from, to)) {
            bytes += 5 + bytes(entry.key()).length + entry.value().length;
        }
        ByteBuffer page = ByteBuffer.allocate(bytes).putLong(entries.size()).putLong(0);
        for (Entry entry : entries.subList(from, to)) {
            byte[] key = bytes(entry.key());
            page.putInt(1 + key.length + entry.value().length).put((byte) key.length).put(key).put(entry.value());
        }
        return page.array();
    }

    private void readNewest(Http.Request request, OutputStream out) throws IOException {
        StringBuilder json = new StringBuilder("{\"entries\":[");
        synchronized (this) {
            List<Entry> entries = topics.getOrDefault(request.parameter("topic"), List.of());
            TreeMap<String, Integer> newest = new TreeMap<>();
            for (int i = 0; i < entries.size(); i++) {
                if (entries.get(i).value().length == 0) {
                    newest.remove(entries.get(i).key());
                } else {
                    newest.put(entries.get(i).key(), i);
                }
            }
            String after = request.parameter("after");
            Map<String, Integer> left = after == null ? newest : newest.tailMap(after, false);
            int count = 0;
            for (Map.Entry<String, Integer> one : left.entrySet()) {
                if (count == MAX_PAGE_RECORDS) {
                    break;
                }
                json.append(count++ == 0 ? "" : ",")
                        .append("{\"key\":\"")
                        .append(one.getKey())
                        .append("\",\"value\":\"")
                        .append(Base64.getEncoder().encodeToString(entries.get(one.getValue()).value()))
                        .append("\",\"offset\":")
                        .append(one.getValue())
                        .append('}');
            }
            json.append("],\"has_more\":").append(count < left.size());
            json.append(",\"end_offset\":").append(entries.size()).append('}');
        }
        respond(out, 200, bytes(json.toString()));
    }

    /** Deals the partitions evenly; a member gives up what it holds beyond its part when it joins again. */
    private void join(Http.Request request, OutputStream out) throws IOException {
        String body = new String(request.body(), StandardCharsets.UTF_8);
        String member = field(body, "\"member\"\\s*:\\s*\"([^\"]*)\"");
        long ttl = Long.parseLong(field(body, "\"ttl_ms\"\\s*:\\s*([0-9]+)"));
        String[] names = field(body, "\"topic_list\"\\s*:\\s*\\[([^\\]]*)\\]").split(",");
        StringBuilder parts = new StringBuilder();
        long generation;
        synchronized (this) {
            Group group =
                    groups.computeIfAbsent(field(body, "\"group\"\\s*:\\s*\"([^\"]*)\""), name -> new Group());
            group.expiresAtMillis.values().removeIf(expiresAtMillis -> expiresAtMillis < now());
            group.expiresAtMillis.put(member, now() + ttl);
            group.owners.values().removeIf(owner -> !group.expiresAtMillis.containsKey(owner));
            int total = names.length * PARTITIONS;
            int most = (total + group.expiresAtMillis.size() - 1) / group.expiresAtMillis.size();
            int held = 0;
            for (int part = 0; part < total; part++) {
                if (member.equals(group.owners.get(part)) && ++held > most) {
                    group.owners.remove(part);
                    group.generation++;
                }
            }
            held = Math.min(held, most);
            for (int part = 0; part < total; part++) {
                if (held < most && !group.owners.containsKey(part)) {
                    group.owners.put(part, member);
                    group.generation++;
                    held++;
                }
                if (member.equals(group.owners.get(part))) {
                    parts.append(parts.length() == 0 ? "" : ",")
                            .append("[")
                            .append(names[part / PARTITIONS].trim())
                            .append(",")
                            .append(part % PARTITIONS)
                            .append(",0]");
                }
            }
            generation = group.generation;
        }
        respond(out, 200, bytes("{\"generation\":" + generation + ",\"ttl_ms\":" + ttl + ",\"parts\":[" + parts + "]}"));
    }

    private static String field(String body, String pattern) {
        Matcher matcher = Pattern.compile(pattern).matcher(body);
        if (!matcher.find()) {
            throw new IllegalArgumentException("expected " + pattern + ", found " + body);
        }
        return matcher.group(1);
    }

    private static String text(Entry entry) {
        return new String(entry.value(), StandardCharsets.UTF_8);
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
