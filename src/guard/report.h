// The form in which a report to the fusers travels between marshals: 14 bytes, big-endian, version first.
#pragma once

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace myrtlehead {

// What a marshal's life has reported in one channel for one build, in all.
struct Report {
  std::uint32_t channel = 0, build = 0, life = 0;
  double total = 0, outcomes = 0;
};

constexpr std::uint8_t kReportVersion = 2;
constexpr std::size_t kReportSize = 14;
constexpr double kReportScale = 1e4;

inline std::vector<std::uint8_t> pack(const Report &r) {
  std::vector<std::uint8_t> out{kReportVersion};
  const auto put = [&](std::uint32_t v, int n) {
    while (n-- > 0) out.push_back(static_cast<std::uint8_t>(v >> (8 * n)));
  };
  put(r.channel, 1);
  put(r.build, 2);
  put(r.life, 2);
  put(static_cast<std::uint32_t>(static_cast<std::int32_t>(std::lround(r.total * kReportScale))), 4);
  put(static_cast<std::uint32_t>(r.outcomes), 4);
  return out;
}

inline std::optional<Report> unpack(const std::uint8_t *p, std::size_t n) {
  if (n != kReportSize || *p++ != kReportVersion) return std::nullopt;
  const auto get = [&](int size) {
    std::uint32_t v = 0;
    while (size-- > 0) v = v << 8 | *p++;
    return v;
  };
  Report r;
  r.channel = get(1);
  r.build = get(2);
  r.life = get(2);
  r.total = static_cast<std::int32_t>(get(4)) / kReportScale;
  r.outcomes = get(4);
  return r;
}

} // namespace myrtlehead
