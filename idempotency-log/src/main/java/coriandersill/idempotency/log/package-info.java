/** Claims of idempotency keys, based on a stream of the platform's log. */
package coriandersill.idempotency.log;
