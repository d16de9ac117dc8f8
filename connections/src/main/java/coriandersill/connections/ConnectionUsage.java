package coriandersill.connections;

/**
 * What a connection occupies and how it advances.
 *
 * @param heldBytes the memory that its requests and unread responses occupy
 * @param recentBytes the bytes that were transferred on it lately
 * @param stalledMillis the time since bytes were last transferred on it
 * @param running whether a complete request on it waits for its response, or receives one piece by piece
 */
public record ConnectionUsage(long heldBytes, long recentBytes, long stalledMillis, boolean running) {}
