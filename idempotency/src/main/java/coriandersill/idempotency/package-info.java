/** Ensures that a non-idempotent call with an idempotency key runs at most once. */
package coriandersill.idempotency;
