// Any bytes as an answer, and what is read from them through a whole look-up.
#include "policy/dns_refresh_schedule.h"

#include <cstdint>
#include <cstdlib>

using namespace myrtlehead;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size) {
  const std::string_view bytes(reinterpret_cast<const char *>(data), size);
  static const dns_resolution::ResolutionSettings terms;
  dns_resolution::NameServers servers(2);
  std::knuth_b chance(1);
  dns_resolution::Lookup lookup({"_pg._tcp.maps.example", dns::Type::srv}, terms, servers);
  for (int n = 0; n < 40 && !lookup.over(); ++n) {
    auto ask = lookup.next(n, chance);
    if (size >= 2)
      ask.sent.id = static_cast<std::uint16_t>(data[0] << 8 | data[1]); // or nothing gets past the id
    ask.sent.letterCase = 0;
    dns::Message message;
    switch (dns::readAnswer(bytes, ask.sent, message)) {
    case dns::Reading::answer:
      lookup.answered(message, false, n);
      break;
    case dns::Reading::folded:
      lookup.answered(message, true, n);
      break;
    default:
      lookup.mishap(dns_resolution::Mishap::unreadable, n);
    }
  }
  if (!lookup.over()) std::abort(); // a look-up ends
  for (const auto &r : lookup.answer().records)
    if (r.type != dns::Type::srv) std::abort();
  return 0;
}
