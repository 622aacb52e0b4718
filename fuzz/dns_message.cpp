// Any bytes as an answer, and what is read from them through a whole look-up.
#include "policy/dns_refresh_schedule.h"

#include <cstdint>
#include <cstdlib>

using namespace myrtlehead;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char *>(data), size);
  static const dns_resolution::ResolutionSettings settings;
  dns_resolution::DnsServers servers(2);
  std::knuth_b random(1);
  dns_resolution::Lookup lookup({"_pg._tcp.maps.example", dns::Type::srv}, settings, servers);
  for (int n = 0; n < 40 && !lookup.isFinished(); ++n) {
    auto query = lookup.nextQuery(n, random);
    if (size >= 2)
      query.sent.id = static_cast<std::uint16_t>(data[0] << 8 | data[1]); // or nothing gets past the id
    query.sent.letterCase = 0;
    dns::Message message;
    switch (dns::readResponse(bytes, query.sent, message)) {
    case dns::ReadResult::accepted:
      lookup.onResponse(message, dns_resolution::LetterCase::preserved, n);
      break;
    case dns::ReadResult::caseMismatch:
      lookup.onResponse(message, dns_resolution::LetterCase::changed, n);
      break;
    default:
      lookup.onError(dns_resolution::QueryError::malformed, n);
    }
  }
  if (!lookup.isFinished()) std::abort(); // a look-up ends
  for (const auto &r : lookup.outcome().records)
    if (r.type != dns::Type::srv) std::abort();
  return 0;
}
