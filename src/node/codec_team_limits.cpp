#include "node/codec_team_limits.h"

#include <cmath>

#include "node/codec_call.h"

namespace bronzestand {
namespace {

using nlohmann::json;

/// Longer terms are not lent; the bound keeps sums of times far from overflow.
constexpr Duration MaxTerm = std::chrono::hours(24);
constexpr Duration MaxStamp = std::chrono::hours(24LL * 366 * 100);
constexpr std::size_t MaxHosts = 100'000;

[[noreturn]] void failRange(const json &In) {
  throw json::out_of_range::create(401, "number out of range", &In);
}

/// Appends the fields of a message to an array.
class Writer {
public:
  explicit Writer(json &Out) : Out_(Out) {}

  template <typename... Fields> void operator()(const Fields &...Values) { (add(Values), ...); }

private:
  void add(Duration Value) { Out_.push_back(Value.count()); }
  void add(TimePoint Value) { Out_.push_back(Value.time_since_epoch().count()); }
  void add(LoanKind Value) { Out_.push_back(static_cast<unsigned>(Value)); }
  template <typename Field> void add(const Field &Value) { Out_.push_back(Value); }

  json &Out_;
};

/// Reads the fields of a message from an array, after the number of its type.
class Reader {
public:
  explicit Reader(const json &In) : In_(In) {}

  template <typename... Fields> void operator()(Fields &...Values) { (take(Values), ...); }

private:
  const json &next() { return In_.at(++Position_); }

  Duration::rep integer(Duration Min, Duration Max) {
    const json &Item = next();
    const auto Value = Item.get<Duration::rep>();
    if (Value < Min.count() || Value > Max.count())
      failRange(Item);
    return Value;
  }

  void take(Duration &Value) { Value = Duration(integer(Duration::zero(), MaxTerm)); }
  void take(TimePoint &Value) { Value = TimePoint(Duration(integer(-MaxStamp, MaxStamp))); }
  void take(double &Value) {
    const json &Item = next();
    Value = Item.get<double>();
    if (!std::isfinite(Value) || Value < 0)
      failRange(Item);
  }
  void take(LoanKind &Value) {
    const json &Item = next();
    const auto Number = Item.get<unsigned>();
    if (Number > static_cast<unsigned>(LoanKind::TokenBulk))
      failRange(Item);
    Value = static_cast<LoanKind>(Number);
  }
  void take(std::vector<HostId> &Value) {
    const json &Item = next();
    if (!Item.is_array() || Item.size() > MaxHosts)
      failRange(Item);
    Item.get_to(Value);
  }
  template <typename Field> void take(Field &Value) { next().get_to(Value); }

  const json &In_;
  std::size_t Position_ = 0;
};

// One list of fields per message serves both directions.
template <typename Io, typename M>
void fields(Io &&Each, M &Message, const JoinRequest * /*Type*/) {
  Each(Message.Incarnation_, Message.HostsHash_, Message.Count_);
}
template <typename Io, typename M> void fields(Io &&Each, M &Message, const JoinAnswer * /*Type*/) {
  Each(Message.ToIncarnation_, Message.Count_, Message.HoldsLoan_, Message.Active_,
       Message.PreviousCount_, Message.Hosts_);
}
template <typename Io, typename M>
void fields(Io &&Each, M &Message, const LendRequest * /*Type*/) {
  Each(Message.Shard_, Message.Incarnation_, Message.Stamp_);
}
template <typename Io, typename M> void fields(Io &&Each, M &Message, const LendGrant * /*Type*/) {
  Each(Message.Shard_, Message.Incarnation_, Message.ToIncarnation_, Message.Stamp_,
       Message.Fraction_, Message.Term_);
}
template <typename Io, typename M>
void fields(Io &&Each, M &Message, const LeaseRequest * /*Type*/) {
  Each(Message.Team_, Message.Incarnation_, Message.Stamp_, Message.Demand_, Message.RateWanted_,
       Message.FractionWanted_, Message.TokensWanted_, Message.LevelBound_, Message.Bulk_,
       Message.TokensOnly_);
}
template <typename Io, typename M> void fields(Io &&Each, M &Message, const LeaseGrant * /*Type*/) {
  Each(Message.Team_, Message.Incarnation_, Message.ToIncarnation_, Message.Stamp_,
       Message.Fraction_, Message.Rate_, Message.Tokens_, Message.Term_, Message.Kind_,
       Message.Level_);
}
template <typename Io, typename M>
void fields(Io &&Each, M &Message, const LeaseReturn * /*Type*/) {
  Each(Message.Team_, Message.Incarnation_, Message.Stamp_, Message.Tokens_, Message.Kind_);
}
template <typename Io, typename M>
void fields(Io &&Each, M &Message, const LeaveNotice * /*Type*/) {
  Each(Message.Incarnation_, Message.LoansEnd_);
}

template <typename Io, typename M> void fields(Io &&Each, M &Message, const LendReturn * /*Type*/) {
  Each(Message.Shard_, Message.Incarnation_, Message.Stamp_, Message.Final_, Message.GrantsEnd_);
}

template <typename M> LimitMessage read(const json &In) {
  M Message;
  fields(Reader(In), Message, static_cast<const M *>(nullptr));
  return Message;
}

template <std::size_t... Index>
LimitMessage readAny(const json &In, std::index_sequence<Index...> /*All*/) {
  using ReadOne = LimitMessage (*)(const json &);
  static constexpr ReadOne Table[] = {&read<std::variant_alternative_t<Index, LimitMessage>>...};
  const auto Type = In.at(0).get<std::size_t>();
  if (Type >= sizeof...(Index))
    failRange(In.at(0));
  return Table[Type](In);
}

} // namespace

void to_json(json &Out, const LimitMessage &In) {
  Out = json::array({In.index()});
  std::visit([&](const auto &M) { fields(Writer(Out), M, &M); }, In);
}

void from_json(const json &In, LimitMessage &Out) {
  Out = readAny(In, std::make_index_sequence<std::variant_size_v<LimitMessage>>());
}

} // namespace bronzestand
