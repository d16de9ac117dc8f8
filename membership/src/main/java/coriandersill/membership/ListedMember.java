package coriandersill.membership;

/**
 * One item of the platform's list of instances.
 *
 * @param member the instance
 * @param leaving whether the platform is about to remove the instance
 */
public record ListedMember(Member member, boolean leaving) {}
