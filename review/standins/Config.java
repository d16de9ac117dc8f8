import java.util.ArrayList;
import java.util.List;

/** Configurations as the operator writes them. */
final class Config {
    static final String HOST = "ficu95.example";
    static final String KEY = "xd9dnn2ctnfzs989anu6";
    static final String SECOND_KEY = "wsjnbanfqasnmgkcuyj8";
    static final String TENANT = "huka270";
    static final String LEDGER = "wuno96b";
    static final String SCRIBE = "huvo11a";
    static final String BOOK = "/pule252/";
    static final String LOOK = "/puxa403/";
    static final String DRAFT = "/lohu930/";

    private Config() {}

    static String route(String name, String prefix, String kind, String service, int timeoutMillis, int attempts) {
        boolean streaming = kind.equals("streaming");
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":" + timeoutMillis + ",\"target_latency_ms\":" + (streaming ? 1800 : 121)
                + ",\"priority\":1,\"service\":\"" + service + "\",\"max_attempts\":" + attempts
                + ",\"public\":false,\"sticky\":" + streaming + ",\"resumable\":false"
                + (streaming ? ",\"target_gap_ms\":180" : "") + "}";
    }

    static List<String> routes() {
        return new ArrayList<>(List.of(
                route("r-draft", DRAFT, "streaming", SCRIBE, 39_000, 1),
                route("r-book", BOOK, "non_idempotent", LEDGER, 5_000, 1),
                route("r-look", LOOK, "idempotent", LEDGER, 5_000, 2)));
    }

    static String of(long version, List<String> routes, String... keys) {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":[{\"name\":\""
                + SCRIBE + "\",\"health_path\":\"/healthcheck\",\"max_connections\":302,\"protocol\":\"h1\",\"tls\":false,"
                + "\"cold_start_s\":1.0,\"cold_per_s\":35.0,\"engine\":{\"slots\":32,\"kv_cache_tokens\":34323,"
                + "\"kv_token_bytes\":163840,\"link_mbps\":24000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,"
                + "\"pin_duration_ms\":4000.0,\"hold_ms\":2000.0,\"handle_ttl_s\":5.0,\"models\":[{\"name\":\"m\"}]}},"
                + "{\"name\":\"" + LEDGER + "\",\"health_path\":\"/healthcheck\",\"max_connections\":100,\"protocol\":\"h1\","
                + "\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"" + TENANT + "\",\"api_keys\":[\""
                + String.join("\",\"", keys) + "\"],\"priority\":1}]}";
    }
}
