/**
 * Limits on responses that can't be forwarded, so that a faulty host costs a
 * bounded amount of memory and time.
 *
 * | Part of a response                        | Bytes                              | Time                                 |
 * | ----------------------------------------- | ---------------------------------- | ------------------------------------ |
 * | head                                      | {@linkcode MAX_HEAD_BYTES}         | the request's deadline               |
 * | interim (1xx) heads                       | {@linkcode MAX_INTERIM_HEADS}      | the request's deadline               |
 * | bytes that are neither head nor body      | {@linkcode MAX_UNPARSED_BYTES}     | the request's deadline               |
 * | body that nobody needs                    | {@linkcode MAX_DISCARDED_BYTES}    | {@linkcode MAX_DISCARD_MS}           |
 * | failure that may be forwarded            | {@linkcode MAX_FAILURE_BODY_BYTES} | {@linkcode MAX_FAILURE_BODY_MS} if a retry is allowed |
 * | report, or reply to a command             | {@linkcode MAX_CONTROL_BODY_BYTES} | the call's timeout                   |
 * | response of the store                     | {@linkcode MAX_STORE_BODY_BYTES}   | the call's timeout                   |
 *
 * The connection of a response that exceeds a limit is closed. Bodies that are
 * forwarded need no limit: their writers apply back-pressure, and they end at the
 * request's deadline.
 *
 * @module
 */

/** Size of a response's status line and headers. */
export const MAX_HEAD_BYTES = 32_768;
/** Number of interim responses before the final one. */
export const MAX_INTERIM_HEADS = 16;
/**
 * Bytes received since the parser last reported a head or a part of a body, such
 * as an endless reason phrase or chunk extension.
 */
export const MAX_UNPARSED_BYTES = 262_144;
/**
 * Size of a body that is read only so that its connection can be reused, such as
 * that of a response that says that the request did not run.
 */
export const MAX_DISCARDED_BYTES = 65_536;
/** Time within which a discarded body must end, in milliseconds. */
export const MAX_DISCARD_MS = 250;
/** Size of the body of an error response, which is kept until it is complete. */
export const MAX_FAILURE_BODY_BYTES = 262_144;
/**
 * Time from the head of such a response to its end, in milliseconds, after which
 * a request that may be retried is retried.
 */
export const MAX_FAILURE_BODY_MS = 1_000;
/** Size of a host's report, or of its reply to a command. */
export const MAX_CONTROL_BODY_BYTES = 262_144;
/**
 * Size of a response of the store; a page has at most 1 MB of values, or one item
 * of that size, encoded as base64 text.
 */
export const MAX_STORE_BODY_BYTES = 8_388_608;
