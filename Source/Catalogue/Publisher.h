#ifndef CORNELDECK_CATALOGUE_PUBLISHER_H
#define CORNELDECK_CATALOGUE_PUBLISHER_H

#include "Base/Error.h"
#include "Catalogue/State.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace corneldeck::catalogue {

/// Changes of an operator that are published together, all or none.
struct PublishRequest {
  /// Chosen by the operator's tool, unique to these changes; asking again with
  /// the same identifier never applies them twice.
  std::string m_ChangeId;
  std::vector<wire::CatalogueChange> m_Changes;
  /// Set if these changes were asked for before, so that an earlier append may
  /// have landed.
  bool m_IsRetry = false;
};

/// What the operator is told.
struct PublishResponse {
  std::string m_ChangeId;
  /// Ok: accepted at m_Offset. RejectedVersion, RejectedOwner,
  /// RejectedInvalid: by the log's order at m_Offset, or by this node if that
  /// is 0. LogUnavailable: not published. PublishUnknown: ask again with the
  /// same change identifier.
  base::ResultCode m_Code = base::ResultCode::Ok;
  std::uint64_t m_Offset = 0;
  std::string m_Message;
};

/// What the caller is to do for the publisher.
struct PublisherActions {
  std::vector<wire::LogRecord> m_Append;
  std::vector<PublishResponse> m_Responses;
};

/// How a publisher is set.
struct PublisherSettings {
  std::string m_Node;
  /// How long to look for a change in the log before saying "unknown".
  base::Millis m_Timeout = base::seconds(10);
  /// Set only to show what the proof catches: an append without an answer is
  /// sent again under a new identifier.
  bool m_InjectBlindRetry = false;
};

/// Publishes operators' changes and finds out what became of them.
///
/// An append whose answer is lost is not repeated: its change identifier is
/// looked for in the log. The operator may ask again with that identifier; all
/// readers recognise it.
class Publisher {
public:
  explicit Publisher(PublisherSettings Settings);

  /// Checks the changes and begins to publish them.
  PublisherActions publish(base::Millis Now, const PublishRequest &Request,
                           const State &Current);

  /// Takes the log's answer to the append of \p ChangeId.
  PublisherActions
  onAppendCompleted(const std::string &ChangeId,
                    const base::Result<std::uint64_t> &Response);

  /// Looks for outcomes in the state; call it when the state changed and at
  /// least every second.
  PublisherActions tick(base::Millis Now, const State &Current);

private:
  struct Pending {
    base::Millis m_Deadline{};
    wire::LogRecord m_Record;
    bool m_IsRetry = false;
  };

  [[nodiscard]] static std::optional<PublishResponse>
  validate(const PublishRequest &Request);

  const PublisherSettings m_Settings;
  std::map<std::string, Pending> m_Pending;
  std::uint64_t m_BlindRetries = 0;
};

} // namespace corneldeck::catalogue

#endif
