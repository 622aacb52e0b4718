// Gossip between the instances of the proxy about failing endpoints. In a large fleet, an instance sends an
// attempt to a given endpoint only once in several seconds; without gossip, each instance would have to
// detect the failure by itself. Does no I/O: the time and the random engine are arguments.
//
// Messages are sent only while there are failures to report, and only to a few peers drawn at random, so that
// their number does not grow with the square of the fleet's size.
#pragma once

#include "policy/due_actions.h"
#include "policy/random.h"
#include "policy/request.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace myrtlehead {

// Identifies an endpoint, with the same value at every instance: 16 bits of a hash of its name. 0: none.
using EndpointFingerprint = std::uint16_t;

// Outcomes of one instance's attempts at an endpoint since its previous message. Counts saturate at 255.
struct EndpointObservations {
  EndpointFingerprint fingerprint = 0;
  std::uint8_t failed = 0;          // answered with an error
  std::uint8_t lostConnections = 0; // no connection, a broken connection, or no answer in time
  std::uint8_t succeeded = 0;
};

struct GossipMessage {
  std::uint16_t senderZone = 0;
  std::vector<EndpointObservations> observations;
};

// Encoded form, big-endian: the version (1 byte), the sender's zone (2 bytes), and 5 bytes for each endpoint.
constexpr std::uint8_t kGossipVersion = 5;
constexpr std::size_t kMaxObservationsPerMessage = 50; // 253 bytes; a datagram holds 256 at most
std::vector<std::uint8_t> encodeGossip(const GossipMessage &message);
// Returns nullopt if the bytes are not a complete gossip message.
std::optional<GossipMessage> decodeGossip(const std::uint8_t *bytes, std::size_t size);

class OutlierGossip {
public:
  OutlierGossip(int ownIndex, int instanceCount, int zone)
      : ownIndex_(ownIndex), instanceCount_(instanceCount), zone_(zone) {}

  // An attempt of this instance has ended.
  void onOutcome(EndpointFingerprint fingerprint, Outcome outcome);
  // A message from the peer with the index `from`. Messages from unknown senders and from this instance
  // itself are ignored.
  void onGossip(int from, const GossipMessage &message, Nanoseconds now, RandomEngine &random);
  // Another process now runs under the endpoint's name. Discards the observations and reports of the former
  // process.
  void onEndpointReplaced(EndpointFingerprint fingerprint);

  // Returns the messages to send now, which hold the observations since the previous messages. Returns none
  // if the next messages are not due yet or no failure was observed.
  std::vector<PeerMessage> takeDueMessages(Nanoseconds now, RandomEngine &random);
  // The time until which the endpoint is to be avoided because peers report it to be failing; 0: no
  // suspicion.
  Nanoseconds suspectUntil(EndpointFingerprint fingerprint) const;
  std::size_t trackedEndpointCount() const { return reports_.size(); }

private:
  // What peers have reported about an endpoint. The counts decay exponentially.
  struct PeerReports {
    double failed = 0;
    double lostConnections = 0;
    double succeeded = 0;
    Nanoseconds updatedAt = 0;
    int latestFailureReporter = -1; // the peer that last reported a failure; -1: none has
    bool hasSeveralFailureReporters = false;
    int suspicions = 0; // how often the endpoint has become a suspect
    Nanoseconds suspectUntil = 0;
  };
  bool mayTrack(EndpointFingerprint fingerprint) const;
  std::vector<EndpointObservations> takeWorstObservations();
  std::vector<int> drawPeers(RandomEngine &random) const;
  void addReport(PeerReports &reports, int from, const EndpointObservations &observations,
                 bool isSameZone) const;
  void forgetStaleReports(Nanoseconds now);
  static void decay(PeerReports &reports, Nanoseconds now);
  static bool isOutlier(const PeerReports &reports);
  static void markAsSuspect(PeerReports &reports, Nanoseconds now, RandomEngine &random);

  int ownIndex_;
  int instanceCount_;
  int zone_;
  Nanoseconds nextMessageAt_ = 0;
  std::map<EndpointFingerprint, EndpointObservations> observations_; // of this instance, not sent yet
  std::map<EndpointFingerprint, PeerReports> reports_;
};

} // namespace myrtlehead
