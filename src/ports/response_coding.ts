/**
 * Codings of the bodies that hosts and upstreams send.
 *
 * @module
 */

/** Headers of a response, with names in lower case. */
type Headers = Readonly<Record<string, string | readonly string[] | undefined>>;

/**
 * Returns why a body can't be forwarded as it arrives; undefined if it can. HTTP
 * clients decode `chunked` and take a body in any other transfer coding for plain
 * bytes. No request accepts a content coding.
 *
 * @example
 * ```ts
 * findForeignCoding({ "transfer-encoding": "chunked" }); // undefined
 * findForeignCoding({ "transfer-encoding": "gzip, chunked" }); // "transfer coding ..."
 * ```
 */
export function findForeignCoding(headers: Headers): string | undefined {
  const transferCoding = headers["transfer-encoding"];
  if (
    transferCoding !== undefined &&
    String(transferCoding).trim().toLowerCase() !== "chunked"
  ) {
    return `transfer coding ${JSON.stringify(transferCoding)}`;
  }
  const contentCoding = headers["content-encoding"];
  return contentCoding === undefined
    ? undefined
    : `content coding ${JSON.stringify(contentCoding)}`;
}
