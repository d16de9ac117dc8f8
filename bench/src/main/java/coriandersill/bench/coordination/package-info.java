/** Programs that measure claims, the memory of keys, and the connection plan. */
package coriandersill.bench.coordination;
