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

/// Changes that an operator publishes together; all are accepted or none.
struct PublishRequest {
  /// Unique identifier of these changes, chosen by the operator's tool. Changes
  /// that are published again with the same identifier take effect only once.
  std::string m_ChangeId;
  std::vector<wire::CatalogueChange> m_Changes;
  /// Set if these changes were published before, so that an earlier append may
  /// be in the log.
  bool m_IsRetry = false;
};

/// The result that is returned to the operator.
struct PublishResponse {
  std::string m_ChangeId;
  /// Ok: accepted at m_Offset. RejectedVersion, RejectedOwner,
  /// RejectedInvalid: rejected by the order of the log at m_Offset, or by this
  /// node if m_Offset is 0. LogUnavailable: not published. PublishUnknown: the
  /// outcome is unknown; publish again with the same change identifier.
  base::ResultCode m_Code = base::ResultCode::Ok;
  std::uint64_t m_Offset = 0;
  std::string m_Message;
};

/// Actions that the caller must carry out for the publisher.
struct PublisherActions {
  std::vector<wire::LogRecord> m_Append;
  std::vector<PublishResponse> m_Responses;
};

/// Settings of Publisher.
struct PublisherSettings {
  std::string m_Node;
  /// A change that does not appear in the log within this time is reported as
  /// PublishUnknown.
  base::Millis m_Timeout = base::seconds(10);
  /// Injected defect for tests: an append without a response is sent again with
  /// a new identifier.
  bool m_InjectBlindRetry = false;
};

/// Publishes operators' changes and determines their outcome.
///
/// An append whose response is lost is not sent again; the publisher waits for
/// its change identifier to appear in the log. The operator may publish again
/// with the same identifier, because all readers recognise it.
class Publisher {
public:
  explicit Publisher(PublisherSettings Settings);

  /// Validates the changes and starts to publish them.
  PublisherActions publish(base::Millis Now, const PublishRequest &Request,
                           const State &Current);

  /// Processes the log's response to the append of \p ChangeId.
  PublisherActions
  onAppendCompleted(const std::string &ChangeId,
                    const base::Result<std::uint64_t> &Response);

  /// Returns the responses whose outcomes are in \p Current or whose time is
  /// over. Call it after each change of the state and at least once a second.
  PublisherActions tick(base::Millis Now, const State &Current);

private:
  struct Pending {
    base::Millis m_Deadline{};
    wire::LogRecord m_Record;
    bool m_IsRetry = false;
  };

  /// \returns the rejection of an invalid request, or none.
  [[nodiscard]] static std::optional<PublishResponse>
  validate(const PublishRequest &Request);

  const PublisherSettings m_Settings;
  std::map<std::string, Pending> m_Pending;
  std::uint64_t m_BlindRetries = 0;
};

} // namespace corneldeck::catalogue

#endif
