package coriandersill.membership;

/**
 * A change of how this process sees an instance.
 *
 * @param member the instance
 * @param before its state before
 * @param after its state now
 */
public record MemberChange(Member member, MemberState before, MemberState after) {}
