// Fuzz target: decodes any bytes as a DNS response and passes the result through a whole look-up. A look-up
// must end, and must return only records of the type asked for.
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
  for (int now = 0; now < 40 && !lookup.isFinished(); ++now) {
    auto query = lookup.nextQuery(now, random);
    // The query takes its id from the input; otherwise hardly any input would match it.
    if (size >= 2) query.sent.id = static_cast<std::uint16_t>(data[0] << 8 | data[1]);
    query.sent.letterCase = 0;
    dns::Message message;
    switch (dns::readAnswer(bytes, query.sent, message)) {
    case dns::Reading::answer:
      lookup.onResponse(message, dns_resolution::LetterCase::preserved, now);
      break;
    case dns::Reading::folded:
      lookup.onResponse(message, dns_resolution::LetterCase::changed, now);
      break;
    default:
      lookup.onError(dns_resolution::QueryError::malformed, now);
    }
  }
  if (!lookup.isFinished()) std::abort();
  for (const auto &record : lookup.outcome().records)
    if (record.type != dns::Type::srv) std::abort();
  return 0;
}
