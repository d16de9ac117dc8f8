package coriandersill.duties;

/**
 * The latest claim or renewal in the duties' topic.
 *
 * @param holder the process that wrote it
 * @param sequence the number that the process gave to it
 * @param token the fencing token of the claim
 */
public record LeaseRecord(ProcessIdentity holder, long sequence, long token) {}
