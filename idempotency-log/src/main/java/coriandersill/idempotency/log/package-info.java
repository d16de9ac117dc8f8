/** Claims of idempotency keys, appended to and followed on the platform's log. */
package coriandersill.idempotency.log;
