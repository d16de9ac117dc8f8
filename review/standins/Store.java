import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in for the platform's store: keyed topics of one partition, and groups. It loses nothing. */
final class Store {
    static final String SERVERS = "keyed.servers";
    static final String OPERATOR = "keyed.op";
    private static final Pattern STRING = Pattern.compile("\"(group|member)\"\\s*:\\s*\"([^\"]*)\"");
    private static final Pattern TOPICS = Pattern.compile("\"topic_list\"\\s*:\\s*\\[([^\\]]*)\\]");
    private static final Pattern TTL = Pattern.compile("\"ttl_ms\"\\s*:\\s*(\\d+)");
    private static final int PARTITIONS = 12;
    private static final int MAX_PAGE_ENTRIES = 500;
    private static final int MAX_PAGE_BYTES = 1 << 20;

    private final Rig rig;
    private final Map<String, List<Rec>> topics = new HashMap<>();
    private final Map<String, TreeMap<String, Long>> groups = new HashMap<>();
    private long generation = 1;

    /** A record; the key is kept as bytes, since the store does not read it. */
    private record Rec(byte[] key, byte[] value) {
        String name() {
            return new String(key, StandardCharsets.UTF_8);
        }
    }

    Store(Rig rig) {
        this.rig = rig;
    }

    /** An address of the store that one machine uses. */
    static final class Access {
        private final ServerSocket socket;

        /** While set, this machine's calls get no answer, and others do. */
        volatile boolean silent;

        private Access(ServerSocket socket) {
            this.socket = socket;
        }

        int port() {
            return socket.getLocalPort();
        }
    }

    Access open() throws IOException {
        Access access = new Access(new ServerSocket(0, 256, InetAddress.getByName(Rig.HOST)));
        Rig.start("store", () -> {
            while (true) {
                try {
                    Socket connection = access.socket.accept();
                    connection.setTcpNoDelay(true);
                    Rig.start("store-connection", () -> serve(access, connection));
                } catch (IOException closed) {
                    return;
                }
            }
        });
        return access;
    }

    /** Appends a record as another writer; returns its offset. */
    synchronized long put(String topic, byte[] key, byte[] value) {
        List<Rec> records = topics.computeIfAbsent(topic, name -> new ArrayList<>());
        records.add(new Rec(key, value));
        notifyAll();
        return records.size() - 1;
    }

    long put(String topic, String key, String value) {
        return put(topic, Http.bytes(key), Http.bytes(value));
    }

    private void serve(Access access, Socket connection) {
        try (connection) {
            BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
            while (true) {
                Http.Request request = Http.readRequest(in);
                if (request == null) {
                    return;
                }
                ByteArrayOutputStream answer = new ByteArrayOutputStream();
                if (!access.silent) {
                    answer(request, answer);
                }
                if (access.silent) {
                    // No answer; the machine's calls on this connection are lost.
                    while (in.read() >= 0) {
                        continue;
                    }
                    return;
                }
                connection.getOutputStream().write(answer.toByteArray());
                connection.getOutputStream().flush();
            }
        } catch (IOException | InterruptedException closed) {
            // The caller closed the connection.
        }
    }

    private void answer(Http.Request request, OutputStream out) throws IOException, InterruptedException {
        switch (request.path()) {
            case "/v1/log-append" -> append(request, out);
            case "/v1/log-read" -> read(request, out);
            case "/v1/log-newest" -> newest(request, out);
            case "/v1/log-join" -> join(request, out);
            default -> Http.respond(out, 404, Map.of(), new byte[0]);
        }
    }

    private void append(Http.Request request, OutputStream out) throws IOException {
        String topic = request.parameter("topic", "");
        if (topic.equals(SERVERS) || topic.equals(OPERATOR)) {
            Http.respond(out, 403, Map.of(), new byte[0]);
            return;
        }
        ByteBuffer body = ByteBuffer.wrap(request.body());
        long first = -1;
        long last = 0;
        while (body.remaining() > 4) {
            byte[] content = new byte[body.getInt()];
            body.get(content);
            int keyLength = content[0] & 0xff;
            byte[] key = java.util.Arrays.copyOfRange(content, 1, 1 + keyLength);
            last = put(topic, key, java.util.Arrays.copyOfRange(content, 1 + keyLength, content.length));
            first = first < 0 ? last : first;
        }
        json(out, "{\"offset\":" + Math.max(0, first) + ",\"end_offset\":" + (last + 1) + "}");
    }

    private synchronized void read(Http.Request request, OutputStream out) throws IOException, InterruptedException {
        List<Rec> records = topics.computeIfAbsent(request.parameter("topic", ""), name -> new ArrayList<>());
        int source = Integer.parseInt(request.parameter("source", "0"));
        int limit = Integer.parseInt(request.parameter("max_size", "1024"));
        long deadline = rig.millis() + Long.parseLong(request.parameter("wait_ms", "0"));
        while (records.size() <= source && rig.millis() < deadline) {
            wait(Math.max(1, deadline - rig.millis()));
        }
        ByteArrayOutputStream page = new ByteArrayOutputStream();
        DataOutputStream data = new DataOutputStream(page);
        data.writeLong(records.size());
        data.writeLong(0);
        for (int i = source; i < records.size() && i < source + limit; i++) {
            Rec found = records.get(i);
            data.writeInt(1 + found.key().length + found.value().length);
            data.writeByte(found.key().length);
            data.write(found.key());
            data.write(found.value());
        }
        Http.respond(out, 200, Map.of("Content-Type", "application/octet-stream"), page.toByteArray());
    }

    private synchronized void newest(Http.Request request, OutputStream out) throws IOException {
        List<Rec> records = topics.computeIfAbsent(request.parameter("topic", ""), name -> new ArrayList<>());
        TreeMap<String, Integer> newest = new TreeMap<>();
        for (int i = 0; i < records.size(); i++) {
            if (records.get(i).value().length == 0) {
                newest.remove(records.get(i).name());
            } else {
                newest.put(records.get(i).name(), i);
            }
        }
        String after = request.parameter("after", "");
        StringBuilder entries = new StringBuilder();
        int count = 0;
        boolean more = false;
        for (Map.Entry<String, Integer> entry : newest.tailMap(after, after.isEmpty()).entrySet()) {
            if (count == MAX_PAGE_ENTRIES || (count > 0 && entries.length() > MAX_PAGE_BYTES)) {
                more = true;
                break;
            }
            entries.append(count++ == 0 ? "" : ",")
                    .append("{\"key\":\"")
                    .append(entry.getKey().replace("\\", "\\\\").replace("\"", "\\\""))
                    .append("\",\"value\":\"")
                    .append(Base64.getEncoder().encodeToString(records.get(entry.getValue()).value()))
                    .append("\",\"offset\":")
                    .append(entry.getValue())
                    .append("}");
        }
        json(out, "{\"entries\":[" + entries + "],\"has_more\":" + more + ",\"end_offset\":" + records.size() + "}");
    }

    private synchronized void join(Http.Request request, OutputStream out) throws IOException {
        String body = request.text();
        Map<String, String> strings = new HashMap<>();
        Matcher matcher = STRING.matcher(body);
        while (matcher.find()) {
            strings.put(matcher.group(1), matcher.group(2));
        }
        Matcher topicList = TOPICS.matcher(body);
        Matcher ttl = TTL.matcher(body);
        if (!topicList.find() || !ttl.find()) {
            Http.respond(out, 400, Map.of(), new byte[0]);
            return;
        }
        TreeMap<String, Long> members = groups.computeIfAbsent(strings.get("group"), name -> new TreeMap<>());
        int before = members.hashCode();
        List<String> names = new ArrayList<>(members.keySet());
        members.values().removeIf(until -> until < rig.millis());
        members.put(strings.get("member"), rig.millis() + Long.parseLong(ttl.group(1)));
        if (!names.equals(new ArrayList<>(members.keySet())) || before == 0) {
            generation++;
        }
        int rank = members.headMap(strings.get("member")).size();
        StringBuilder rows = new StringBuilder();
        int number = 0;
        for (String topic : topicList.group(1).replace("\"", "").split(",")) {
            for (int part = 0; part < PARTITIONS; part++) {
                if (number++ % members.size() == rank) {
                    rows.append(rows.length() == 0 ? "" : ",")
                            .append("[\"" + topic.trim() + "\"," + part + ",0]");
                }
            }
        }
        json(out, "{\"generation\":" + generation + ",\"ttl_ms\":" + ttl.group(1) + ",\"parts\":[" + rows + "]}");
    }

    private static void json(OutputStream out, String body) throws IOException {
        Http.respond(out, 200, Map.of("Content-Type", "application/json"), Http.bytes(body));
    }
}
