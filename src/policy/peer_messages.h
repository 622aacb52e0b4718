// The messages on a rollout that travel between instances: a report of evidence to the fusion centers (16
// bytes) and a fusion center's position (5 bytes), big-endian, version first.
#pragma once

#include "policy/rollout_types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace myrtlehead {

// What one incarnation of an instance has reported in one channel for one build, in all.
struct EvidenceReport {
  std::uint32_t channel = 0;
  std::uint32_t build = 0;
  std::uint32_t incarnation = 0;
  std::uint16_t lastFailedFingerprint =
      0; // fingerprint of the endpoint that failed last since the report before; 0: none
  double logLikelihoodRatio = 0;
  double outcomes = 0;
};

// The first byte of either form.
constexpr std::uint8_t kReportVersion = 3;
constexpr std::uint8_t kPositionVersion = 4;

std::vector<std::uint8_t> encodeReport(const EvidenceReport &report);
// nullopt: it is no report.
std::optional<EvidenceReport> decodeReport(const std::uint8_t *bytes, std::size_t size);

// A position is the vote that a fusion center would cast.
std::vector<std::uint8_t> encodePosition(const Vote &position);
// nullopt: it is no position.
std::optional<Vote> decodePosition(const std::uint8_t *bytes, std::size_t size);

} // namespace myrtlehead
