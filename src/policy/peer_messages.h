// The forms in which a report to the fusers and a fuser's stance travel between instances: 16 and 5 bytes,
// big-endian, version first.
#pragma once

#include "policy/types.h"

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace myrtlehead {

// What an instance's life has reported in one channel for one build, in all.
struct Report {
  std::uint32_t channel = 0, build = 0, life = 0;
  std::uint16_t worst = 0; // the mark of the endpoint that failed last since the report before; 0: none
  double total = 0, outcomes = 0;
};

constexpr std::uint8_t kReportVersion = 3, kStanceVersion = 4;
constexpr std::size_t kReportSize = 16, kStanceSize = 5;
constexpr double kReportScale = 1e4;

inline std::vector<std::uint8_t> pack(const Report &r) {
  std::vector<std::uint8_t> out{kReportVersion};
  const auto put = [&](std::uint32_t v, int n) {
    while (n-- > 0) out.push_back(static_cast<std::uint8_t>(v >> (8 * n)));
  };
  put(r.channel, 1);
  put(r.build, 2);
  put(r.life, 2);
  put(r.worst, 2);
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
  r.worst = static_cast<std::uint16_t>(get(2));
  r.total = static_cast<std::int32_t>(get(4)) / kReportScale;
  r.outcomes = get(4);
  return r;
}

inline std::vector<std::uint8_t> packStance(const Vote &v) {
  const auto build = static_cast<unsigned>(v.build);
  return {kStanceVersion, static_cast<std::uint8_t>(v.verdict), static_cast<std::uint8_t>(build >> 8),
          static_cast<std::uint8_t>(build), static_cast<std::uint8_t>(v.stage)};
}

inline std::optional<Vote> unpackStance(const std::uint8_t *p, std::size_t n) {
  if (n != kStanceSize || p[0] != kStanceVersion) return std::nullopt;
  if (p[1] > static_cast<int>(Verdict::rollBack)) return std::nullopt;
  return Vote{static_cast<Verdict>(p[1]), p[2] << 8 | p[3], p[4]};
}

} // namespace myrtlehead
