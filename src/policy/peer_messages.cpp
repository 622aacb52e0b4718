#include "policy/peer_messages.h"

#include <cmath>

namespace myrtlehead {

namespace {

constexpr std::size_t kReportSize = 16;  // bytes
constexpr std::size_t kPositionSize = 5; // bytes
constexpr double kRatioScale = 1e4;      // ratios are encoded as integers in units of 1 / kRatioScale

} // namespace

std::vector<std::uint8_t> encodeReport(const EvidenceReport &report) {
  std::vector<std::uint8_t> out{kReportVersion};
  const auto append = [&](std::uint32_t value, int bytes) {
    while (bytes-- > 0) out.push_back(static_cast<std::uint8_t>(value >> (8 * bytes)));
  };
  const auto scaled = static_cast<std::int32_t>(std::lround(report.logLikelihoodRatio * kRatioScale));
  append(report.channel, 1);
  append(report.build, 2);
  append(report.incarnation, 2);
  append(report.lastFailedFingerprint, 2);
  append(static_cast<std::uint32_t>(scaled), 4);
  append(static_cast<std::uint32_t>(report.outcomes), 4);
  return out;
}

std::optional<EvidenceReport> decodeReport(const std::uint8_t *bytes, std::size_t size) {
  if (size != kReportSize || bytes[0] != kReportVersion) return std::nullopt;
  const std::uint8_t *next = bytes + 1;
  const auto read = [&](int count) {
    std::uint32_t value = 0;
    while (count-- > 0) value = value << 8 | *next++;
    return value;
  };
  EvidenceReport report;
  report.channel = read(1);
  report.build = read(2);
  report.incarnation = read(2);
  report.lastFailedFingerprint = static_cast<std::uint16_t>(read(2));
  report.logLikelihoodRatio = static_cast<std::int32_t>(read(4)) / kRatioScale;
  report.outcomes = read(4);
  return report;
}

std::vector<std::uint8_t> encodePosition(const Vote &position) {
  const auto build = static_cast<unsigned>(position.build);
  return {kPositionVersion, static_cast<std::uint8_t>(position.verdict),
          static_cast<std::uint8_t>(build >> 8), static_cast<std::uint8_t>(build),
          static_cast<std::uint8_t>(position.stage)};
}

std::optional<Vote> decodePosition(const std::uint8_t *bytes, std::size_t size) {
  if (size != kPositionSize || bytes[0] != kPositionVersion) return std::nullopt;
  if (bytes[1] > static_cast<int>(Verdict::rollBack)) return std::nullopt;
  return Vote{static_cast<Verdict>(bytes[1]), bytes[2] << 8 | bytes[3], bytes[4]};
}

} // namespace myrtlehead
