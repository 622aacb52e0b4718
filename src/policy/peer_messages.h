// Codec of the rollout messages between instances: an evidence report to the fusion centers (16 bytes) and
// the position of a fusion center (5 bytes). Integers are big-endian; the first byte is the version.
#pragma once

#include "policy/rollout_types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace myrtlehead {

// The totals of what one incarnation of an instance has reported for one build on one channel.
struct EvidenceReport {
  std::uint32_t channel = 0;
  std::uint32_t build = 0;
  std::uint32_t incarnation = 0;
  std::uint16_t lastFailedFingerprint = 0; // of the endpoint that failed last since the last report; 0: none
  double logLikelihoodRatio = 0;
  double outcomes = 0;
};

// The version byte also tells the two kinds of message apart.
constexpr std::uint8_t kReportVersion = 3;
constexpr std::uint8_t kPositionVersion = 4;

std::vector<std::uint8_t> encodeReport(const EvidenceReport &report);
// Returns nullopt if the bytes are not a report.
std::optional<EvidenceReport> decodeReport(const std::uint8_t *bytes, std::size_t size);

// A position is the vote that a fusion center would cast by its own evidence.
std::vector<std::uint8_t> encodePosition(const Vote &position);
// Returns nullopt if the bytes are not a position.
std::optional<Vote> decodePosition(const std::uint8_t *bytes, std::size_t size);

} // namespace myrtlehead
