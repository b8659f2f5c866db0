#include "RankGroup/RankCodec.h"

namespace corneldeck::rankgroup {

namespace {

constexpr std::uint32_t MaxRanks = 4096;
constexpr std::uint32_t MaxExperts = 65'536;

void encode(const MapId &Id, wire::MapId &Out) {
  Out.set_fencing_number(Id.m_FencingNumber);
  Out.set_version(Id.m_Version);
  Out.set_digest(Id.m_Digest);
}

MapId decode(const wire::MapId &In) {
  return {In.fencing_number(), In.version(), In.digest()};
}

void encode(const Epoch &Value, wire::GroupEpoch &Out) {
  Out.set_number(Value.m_Number);
  Out.set_view(Value.m_View);
}

Epoch decode(const wire::GroupEpoch &In) { return {In.number(), In.view()}; }

void encode(const MapBody &Body, wire::ExpertMap &Out) {
  Out.set_ranks(static_cast<std::uint32_t>(Body->ranks()));
  Out.set_experts(static_cast<std::uint32_t>(Body->experts()));
  for (ExpertMap::Expert ExpertId = 0; ExpertId < Body->experts(); ++ExpertId) {
    const std::vector<ExpertMap::Rank> &Copies = Body->replicas(ExpertId);
    Out.add_copies(static_cast<std::uint32_t>(Copies.size()));
    for (const ExpertMap::Rank RankId : Copies)
      Out.add_placement(RankId);
  }
}

/// \returns the decoded map; null if its fields are inconsistent or too large.
MapBody decode(const wire::ExpertMap &In) {
  const bool Valid =
      In.ranks() <= MaxRanks && In.experts() <= MaxExperts &&
      static_cast<std::uint32_t>(In.copies_size()) == In.experts();
  if (!Valid)
    return nullptr;
  auto Body = std::make_shared<ExpertMap>(In.ranks(), In.experts());
  int Next = 0;
  for (std::uint32_t ExpertId = 0; ExpertId < In.experts(); ++ExpertId)
    for (std::uint32_t Copy = 0; Copy < In.copies(static_cast<int>(ExpertId));
         ++Copy) {
      if (Next >= In.placement_size() || In.placement(Next) >= In.ranks())
        return nullptr;
      Body->add(ExpertId, static_cast<ExpertMap::Rank>(In.placement(Next)));
      ++Next;
    }
  return Body;
}

void encode(const Formation &Value, wire::GroupFormation &Out) {
  encode(Value.m_Epoch, *Out.mutable_epoch());
  encode(Value.m_Map, *Out.mutable_map());
  Out.set_first_step(Value.m_FirstStep);
  for (const std::uint64_t Member : Value.m_Members)
    Out.add_members(Member);
}

Formation decode(const wire::GroupFormation &In) {
  return {decode(In.epoch()),
          decode(In.map()),
          In.first_step(),
          {In.members().begin(), In.members().end()}};
}

struct BodyWriter {
  wire::RankMessage &m_Out;

  void operator()(const Status &Value) const {
    wire::RankStatus &Out = *m_Out.mutable_status();
    Out.set_incarnation(Value.m_Incarnation);
    encode(Value.m_Epoch, *Out.mutable_epoch());
    Out.set_joined(Value.m_Joined);
    encode(Value.m_Map, *Out.mutable_map());
    Out.set_next_step(Value.m_NextStep);
    encode(Value.m_Formation, *Out.mutable_formation());
    if (Value.m_Body)
      encode(Value.m_Body, *Out.mutable_body());
  }
  void operator()(const Proposal &Value) const {
    wire::MapProposal &Out = *m_Out.mutable_proposal();
    encode(Value.m_Id, *Out.mutable_id());
    encode(Value.m_Base, *Out.mutable_base());
    encode(Value.m_Epoch, *Out.mutable_epoch());
    Out.set_switch_step(Value.m_Step);
    if (Value.m_Body)
      encode(Value.m_Body, *Out.mutable_map());
    Out.set_reason(Value.m_Reason);
  }
  void operator()(const Vote &Value) const {
    wire::MapVote &Out = *m_Out.mutable_vote();
    encode(Value.m_Id, *Out.mutable_id());
    encode(Value.m_Epoch, *Out.mutable_epoch());
    Out.set_incarnation(Value.m_Incarnation);
    Out.set_value(static_cast<wire::MapVote::Value>(Value.m_Value));
  }
  void operator()(const Query &Value) const {
    wire::MapQuery &Out = *m_Out.mutable_query();
    encode(Value.m_Id, *Out.mutable_id());
    encode(Value.m_Epoch, *Out.mutable_epoch());
    Out.set_switch_step(Value.m_Step);
  }
};

Status decode(const wire::RankStatus &In) {
  Status Out;
  Out.m_Incarnation = In.incarnation();
  Out.m_Epoch = decode(In.epoch());
  Out.m_Joined = In.joined();
  Out.m_Map = decode(In.map());
  Out.m_NextStep = In.next_step();
  Out.m_Formation = decode(In.formation());
  if (In.has_body())
    Out.m_Body = decode(In.body());
  return Out;
}

Proposal decode(const wire::MapProposal &In) {
  Proposal Out;
  Out.m_Id = decode(In.id());
  Out.m_Base = decode(In.base());
  Out.m_Epoch = decode(In.epoch());
  Out.m_Step = In.switch_step();
  if (In.has_map())
    Out.m_Body = decode(In.map());
  Out.m_Reason = In.reason();
  return Out;
}

} // namespace

wire::RankMessage toWire(const std::string &Group, const Message &Content) {
  wire::RankMessage Out;
  Out.set_group(Group);
  Out.set_from_rank(Content.m_From);
  std::visit(BodyWriter{Out}, Content.m_Body);
  return Out;
}

base::Result<Message> fromWire(const wire::RankMessage &Content) {
  const auto Malformed = [] {
    return base::failure(base::ResultCode::BadMessage,
                         "Rank message is empty or has an invalid map or vote; "
                         "check that all agents of the group run the same "
                         "release.");
  };
  Message Out;
  Out.m_From = Content.from_rank();
  switch (Content.body_case()) {
  case wire::RankMessage::kStatus:
    Out.m_Body = decode(Content.status());
    return Out;
  case wire::RankMessage::kProposal:
    if (Content.proposal().has_map() && !decode(Content.proposal().map()))
      return Malformed();
    Out.m_Body = decode(Content.proposal());
    return Out;
  case wire::RankMessage::kVote: {
    const wire::MapVote &ReceivedVote = Content.vote();
    if (!wire::MapVote::Value_IsValid(ReceivedVote.value()))
      return Malformed();
    Out.m_Body = Vote{decode(ReceivedVote.id()), decode(ReceivedVote.epoch()),
                      ReceivedVote.incarnation(),
                      static_cast<VoteValue>(ReceivedVote.value())};
    return Out;
  }
  case wire::RankMessage::kQuery: {
    const wire::MapQuery &ReceivedQuery = Content.query();
    Out.m_Body =
        Query{decode(ReceivedQuery.id()), decode(ReceivedQuery.epoch()),
              ReceivedQuery.switch_step()};
    return Out;
  }
  case wire::RankMessage::BODY_NOT_SET:
    break;
  }
  return Malformed();
}

} // namespace corneldeck::rankgroup
