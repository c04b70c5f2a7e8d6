// Parsing of machine addresses into a canonical form.
import ipaddr from 'ipaddr.js';

/**
 * Returns the IP address of `HOST:PORT` in canonical form: IPv4-mapped IPv6 addresses as IPv4, other IPv6 addresses in
 * lower case and as short as possible. Returns null if the host is not an IP address or the port is missing.
 */
export function canonicalIpOf(address: string): string | null {
  const colon = address.lastIndexOf(':');
  if (colon < 0 || !/^\d{1,5}$/.test(address.slice(colon + 1))) return null;
  const host = address.slice(0, colon).replace(/^\[(.*)\]$/, '$1');
  // Short and octal forms of IPv4 are rejected, because programs interpret them differently.
  const isUnambiguous = ipaddr.IPv4.isValidFourPartDecimal(host) || ipaddr.IPv6.isValid(host);
  return isUnambiguous ? ipaddr.process(host).toString() : null;
}
