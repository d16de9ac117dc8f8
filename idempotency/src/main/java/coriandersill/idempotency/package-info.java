/** Decides whether a call that may not be repeated runs. */
package coriandersill.idempotency;
