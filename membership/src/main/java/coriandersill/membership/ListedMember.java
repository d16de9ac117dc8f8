package coriandersill.membership;

/**
 * One line of the platform's list of instances.
 *
 * @param member the instance
 * @param leaving whether the platform is about to take it away
 */
public record ListedMember(Member member, boolean leaving) {}
