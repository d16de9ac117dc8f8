package coriandersill.membership;

/**
 * A change of the state of an instance, as seen by this process.
 *
 * @param member the instance
 * @param before its previous state
 * @param after its new state
 */
public record MemberChange(Member member, MemberState before, MemberState after) {}
