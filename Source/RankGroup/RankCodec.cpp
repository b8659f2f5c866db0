#include "RankGroup/RankCodec.h"

namespace corneldeck::rankgroup {

namespace {

constexpr std::uint32_t MostRanks = 4096;
constexpr std::uint32_t MostExperts = 65'536;

void put(const MapId &Id, wire::MapId &Out) {
  Out.set_fencing_number(Id.m_FencingNumber);
  Out.set_version(Id.m_Version);
  Out.set_digest(Id.m_Digest);
}

MapId get(const wire::MapId &In) {
  return {In.fencing_number(), In.version(), In.digest()};
}

void put(const Epoch &Value, wire::GroupEpoch &Out) {
  Out.set_number(Value.m_Number);
  Out.set_view(Value.m_View);
}

Epoch get(const wire::GroupEpoch &In) { return {In.number(), In.view()}; }

void put(const MapBody &Body, wire::ExpertMap &Out) {
  Out.set_ranks(static_cast<std::uint32_t>(Body->ranks()));
  Out.set_experts(static_cast<std::uint32_t>(Body->experts()));
  for (ExpertMap::Expert Which = 0; Which < Body->experts(); ++Which) {
    const std::vector<ExpertMap::Rank> &Copies = Body->replicas(Which);
    Out.add_copies(static_cast<std::uint32_t>(Copies.size()));
    for (const ExpertMap::Rank Where : Copies)
      Out.add_placement(Where);
  }
}

/// \returns the map, or none if its parts do not fit together.
MapBody get(const wire::ExpertMap &In) {
  const bool Sound =
      In.ranks() <= MostRanks && In.experts() <= MostExperts &&
      static_cast<std::uint32_t>(In.copies_size()) == In.experts();
  if (!Sound)
    return nullptr;
  auto Body = std::make_shared<ExpertMap>(In.ranks(), In.experts());
  int Next = 0;
  for (std::uint32_t Which = 0; Which < In.experts(); ++Which)
    for (std::uint32_t Copy = 0; Copy < In.copies(static_cast<int>(Which));
         ++Copy) {
      if (Next >= In.placement_size() || In.placement(Next) >= In.ranks())
        return nullptr;
      Body->add(Which, static_cast<ExpertMap::Rank>(In.placement(Next)));
      ++Next;
    }
  return Body;
}

void put(const Formation &Value, wire::GroupFormation &Out) {
  put(Value.m_Epoch, *Out.mutable_epoch());
  put(Value.m_Map, *Out.mutable_map());
  Out.set_first_step(Value.m_FirstStep);
  for (const std::uint64_t Member : Value.m_Members)
    Out.add_members(Member);
}

Formation get(const wire::GroupFormation &In) {
  return {get(In.epoch()),
          get(In.map()),
          In.first_step(),
          {In.members().begin(), In.members().end()}};
}

struct BodyWriter {
  wire::RankMessage &m_Out;

  void operator()(const Status &Value) const {
    wire::RankStatus &Out = *m_Out.mutable_status();
    Out.set_incarnation(Value.m_Incarnation);
    put(Value.m_Epoch, *Out.mutable_epoch());
    Out.set_joined(Value.m_Joined);
    put(Value.m_Map, *Out.mutable_map());
    Out.set_next_step(Value.m_NextStep);
    put(Value.m_Formation, *Out.mutable_formation());
    if (Value.m_Body)
      put(Value.m_Body, *Out.mutable_body());
  }
  void operator()(const Proposal &Value) const {
    wire::MapProposal &Out = *m_Out.mutable_proposal();
    put(Value.m_Id, *Out.mutable_id());
    put(Value.m_Base, *Out.mutable_base());
    put(Value.m_Epoch, *Out.mutable_epoch());
    Out.set_switch_step(Value.m_Step);
    if (Value.m_Body)
      put(Value.m_Body, *Out.mutable_map());
    Out.set_reason(Value.m_Reason);
  }
  void operator()(const Vote &Value) const {
    wire::MapVote &Out = *m_Out.mutable_vote();
    put(Value.m_Id, *Out.mutable_id());
    put(Value.m_Epoch, *Out.mutable_epoch());
    Out.set_incarnation(Value.m_Incarnation);
    Out.set_value(static_cast<wire::MapVote::Value>(Value.m_Value));
  }
  void operator()(const Query &Value) const {
    wire::MapQuery &Out = *m_Out.mutable_query();
    put(Value.m_Id, *Out.mutable_id());
    put(Value.m_Epoch, *Out.mutable_epoch());
    Out.set_switch_step(Value.m_Step);
  }
};

Status get(const wire::RankStatus &In) {
  Status Out;
  Out.m_Incarnation = In.incarnation();
  Out.m_Epoch = get(In.epoch());
  Out.m_Joined = In.joined();
  Out.m_Map = get(In.map());
  Out.m_NextStep = In.next_step();
  Out.m_Formation = get(In.formation());
  if (In.has_body())
    Out.m_Body = get(In.body());
  return Out;
}

Proposal get(const wire::MapProposal &In) {
  Proposal Out;
  Out.m_Id = get(In.id());
  Out.m_Base = get(In.base());
  Out.m_Epoch = get(In.epoch());
  Out.m_Step = In.switch_step();
  if (In.has_map())
    Out.m_Body = get(In.map());
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
  const auto Bad = [] {
    return base::failure(base::ResultCode::BadMessage,
                         "A rank's message is not complete; check that all "
                         "agents of the group run the same release.");
  };
  Message Out;
  Out.m_From = Content.from_rank();
  switch (Content.body_case()) {
  case wire::RankMessage::kStatus:
    Out.m_Body = get(Content.status());
    return Out;
  case wire::RankMessage::kProposal:
    if (Content.proposal().has_map() && !get(Content.proposal().map()))
      return Bad();
    Out.m_Body = get(Content.proposal());
    return Out;
  case wire::RankMessage::kVote: {
    const wire::MapVote &Cast = Content.vote();
    if (!wire::MapVote::Value_IsValid(Cast.value()))
      return Bad();
    Out.m_Body = Vote{get(Cast.id()), get(Cast.epoch()), Cast.incarnation(),
                      static_cast<VoteValue>(Cast.value())};
    return Out;
  }
  case wire::RankMessage::kQuery: {
    const wire::MapQuery &Asked = Content.query();
    Out.m_Body =
        Query{get(Asked.id()), get(Asked.epoch()), Asked.switch_step()};
    return Out;
  }
  case wire::RankMessage::BODY_NOT_SET:
    break;
  }
  return Bad();
}

} // namespace corneldeck::rankgroup
