#include <algorithm>
#include <utility>

#include "bronzestand/claims.h"

namespace bronzestand {

namespace {

std::size_t storedSize(const Answer &Value) {
  std::size_t Size = Value.Body_.size();
  for (const Header &Field : Value.Headers_)
    Size += Field.Name_.size() + Field.Value_.size();
  return Size;
}

/// The newest incarnation of a witness counts; within it, a grant stays a grant.
void recordVote(std::map<HostId, ClaimVote> &Votes, const HostId &From, const ClaimVote &Vote) {
  const auto [At, IsNew] = Votes.try_emplace(From, Vote);
  if (IsNew || Vote.Witness_ < At->second.Witness_)
    return;
  if (Vote.Witness_ > At->second.Witness_ || At->second.Verdict_ != ClaimVerdict::Granted)
    At->second = Vote;
}

/// Tells whether another witness knows a newer incarnation of the voter at this place.
bool isVoid(const std::map<HostId, ClaimVote> &Votes, std::size_t Place, Incarnation Voter) {
  return std::any_of(Votes.begin(), Votes.end(), [&](const auto &Other) {
    const auto &Known = Other.second.Known_;
    return Place < Known.size() && Known[Place] > Voter;
  });
}

} // namespace

Claimant::Claimant(HostId Self, Incarnation Own, ClaimSettings Settings)
    : Self_(std::move(Self)), Own_(Own), Settings_(Settings), Sets_(ClaimSlots) {}

void Claimant::setHosts(const std::vector<ClaimHost> &Hosts, Revision List) {
  if (List <= List_)
    return;
  List_ = List;
  for (std::uint32_t Number = 0; Number < ClaimSlots; ++Number)
    Sets_[Number] = witnessSet(Number, Hosts);
}

void Claimant::decide(ClaimId Id, const ClaimDecision &Decision, ClaimEffects &Effects) {
  Counts_.Dispatched_ += std::holds_alternative<ClaimDispatch>(Decision) ? 1 : 0;
  Counts_.Refused_ += std::holds_alternative<ClaimRefuse>(Decision) ? 1 : 0;
  Counts_.Replayed_ += std::holds_alternative<ClaimReplay>(Decision) ? 1 : 0;
  Counts_.Redirected_ += std::holds_alternative<ClaimRedirect>(Decision) ? 1 : 0;
  Effects.emplace_back(ClaimDecided{Id, Decision});
}

bool Claimant::beginKnown(const ClaimDigest &Key, std::uint64_t BodyHash, ClaimId Id,
                          ClaimEffects &Effects) {
  const auto Found = Entries_.find(Key);
  if (Found == Entries_.end())
    return false;
  Entry &Current = Found->second;
  if (Current.BodyHash_ != BodyHash) {
    decide(Id, ClaimRefuse{Refusal::IdempotencyKeyReused}, Effects);
  } else if (Current.State_ == State::Done) {
    decide(Id, ClaimReplay{Current.Answer_}, Effects);
  } else if (Current.State_ == State::NoAnswer) {
    decide(Id, ClaimRefuse{Refusal::OutcomeUnknown}, Effects);
  } else {
    Current.Waiting_.push_back(Id);
    decide(Id, ClaimWait{}, Effects);
  }
  return true;
}

ClaimId Claimant::begin(TimePoint Now, const ClaimKey &Key, std::uint64_t BodyHash,
                        ClaimEffects &Effects, std::optional<Incarnation> Redirected) {
  const ClaimId Id = ++LastId_;
  const ClaimDigest Digest = digestOf(Key);
  if (beginKnown(Digest, BodyHash, Id, Effects))
    return Id;
  if (Redirected && *Redirected != Own_) {
    decide(Id, ClaimRefuse{Refusal::OutcomeUnknown}, Effects);
    return Id;
  }
  if (Entries_.size() >= Settings_.MaxEntries_ || Sets_[slotOf(Digest)].empty()) {
    decide(Id, ClaimRefuse{Refusal::ClaimUnavailable}, Effects);
    return Id;
  }
  Entry &Current = Entries_[Digest];
  Current.Id_ = Id;
  Current.BodyHash_ = BodyHash;
  Current.Redirected_ = Redirected.has_value();
  Current.Begun_ = Now;
  KeyOfId_[Id] = Digest;
  Claiming_.insert(Digest);
  sendClaim(Now, Digest, Current, Effects);
  return Id;
}

void Claimant::sendClaim(TimePoint Now, const ClaimDigest &Key, Entry &Current,
                         ClaimEffects &Effects) {
  Current.NextSend_ = Now + Settings_.Resend_;
  const std::vector<HostId> &Members = Sets_[slotOf(Key)];
  if (Current.Members_ != Members) {
    // Votes of two sets must not be added up.
    Current.Members_ = Members;
    Current.Attempt_ = ++LastAttempt_;
    Current.Votes_.clear();
  }
  const ClaimRequest Request{
      Key, Current.BodyHash_, {Self_, Own_, Current.Attempt_}, Current.Members_};
  for (const HostId &Host : Current.Members_) {
    const auto Vote = Current.Votes_.find(Host);
    if (Vote == Current.Votes_.end() || Vote->second.Verdict_ != ClaimVerdict::Granted)
      Effects.emplace_back(ClaimSend{Host, Request});
  }
}

void Claimant::handle(TimePoint Now, const HostId &From, const ClaimMessage &Message,
                      ClaimEffects &Effects) {
  const auto *Vote = std::get_if<ClaimVote>(&Message);
  if (Vote == nullptr)
    return;
  const auto Found = Entries_.find(Vote->Key_);
  if (Found == Entries_.end())
    return;
  Entry &Current = Found->second;
  if (Current.State_ != State::Claiming || Current.Attempt_ != Vote->Attempt_ ||
      std::find(Current.Members_.begin(), Current.Members_.end(), From) == Current.Members_.end())
    return;
  recordVote(Current.Votes_, From, *Vote);
  count(Now, Vote->Key_, Current, Effects);
}

void Claimant::count(TimePoint Now, const ClaimDigest &Key, Entry &Current, ClaimEffects &Effects) {
  // A pause may have lasted longer than the witnesses keep the claim.
  if (Now - Current.Begun_ > Settings_.Timeout_) {
    giveUp(Key, Effects);
    return;
  }
  std::size_t Granted = 0;
  std::size_t Taken = 0;
  for (std::size_t Place = 0; Place < Current.Members_.size(); ++Place) {
    const auto Vote = Current.Votes_.find(Current.Members_[Place]);
    if (Vote == Current.Votes_.end() || isVoid(Current.Votes_, Place, Vote->second.Witness_))
      continue;
    Granted += Vote->second.Verdict_ == ClaimVerdict::Granted ? 1 : 0;
    Taken += Vote->second.Verdict_ == ClaimVerdict::Taken ? 1 : 0;
  }
  const std::size_t Majority = Current.Members_.size() / 2 + 1;
  if (Granted >= Majority) {
    Current.State_ = State::Running;
    Claiming_.erase(Key);
    Current.Votes_.clear();
    decide(Current.Id_, ClaimDispatch{}, Effects);
  } else if (Current.Members_.size() - Taken < Majority) {
    giveUp(Key, Effects);
  }
}

void Claimant::giveUp(const ClaimDigest &Key, ClaimEffects &Effects) {
  Entry &Current = Entries_.at(Key);
  const ClaimVote *Taken = nullptr;
  for (const auto &[Host, Vote] : Current.Votes_) {
    if (Vote.Verdict_ == ClaimVerdict::Taken)
      Taken = &Vote;
  }
  ClaimDecision Decision = ClaimRefuse{Refusal::ClaimUnavailable};
  if (Taken != nullptr && Taken->BodyHash_ != Current.BodyHash_)
    Decision = ClaimRefuse{Refusal::IdempotencyKeyReused};
  else if (Taken != nullptr && (Current.Redirected_ || Taken->Owner_.Host_ == Self_))
    Decision = ClaimRefuse{Refusal::OutcomeUnknown};
  else if (Taken != nullptr)
    Decision = ClaimRedirect{Taken->Owner_.Host_, Taken->Owner_.Incarnation_};
  release(Key, Current, Effects);
  decide(Current.Id_, Decision, Effects);
  resume(Current, Decision, Effects);
  erase(Key);
}

void Claimant::release(const ClaimDigest &Key, const Entry &Current, ClaimEffects &Effects) const {
  const ClaimRelease Release{Key, {Self_, Own_, Current.Attempt_}};
  for (const HostId &Host : Current.Members_)
    Effects.emplace_back(ClaimSend{Host, Release});
}

void Claimant::resume(Entry &Current, const ClaimDecision &Decision, ClaimEffects &Effects) {
  for (const ClaimId Id : std::exchange(Current.Waiting_, {}))
    decide(Id, Decision, Effects);
}

void Claimant::erase(const ClaimDigest &Key) {
  const auto Found = Entries_.find(Key);
  Counts_.StoredBytes_ -= storedSize(Found->second.Answer_);
  KeyOfId_.erase(Found->second.Id_);
  Claiming_.erase(Key);
  Entries_.erase(Found);
}

bool Claimant::stillValid(TimePoint Now, ClaimId Id) const {
  const auto Key = KeyOfId_.find(Id);
  if (Key == KeyOfId_.end())
    return false;
  const Entry &Current = Entries_.at(Key->second);
  return Current.State_ == State::Running && Now - Current.Begun_ <= Settings_.DispatchWindow_;
}

void Claimant::finished(TimePoint, ClaimId Id, const Answer &Result, ClaimEffects &Effects) {
  const auto Found = KeyOfId_.find(Id);
  if (Found == KeyOfId_.end())
    return;
  const ClaimDigest Key = Found->second;
  Entry &Current = Entries_.at(Key);
  if (Current.State_ == State::Claiming || Current.State_ == State::Done)
    return;
  if (Result.Outcome_ == Outcome::NotRun) {
    // The refusal holds for the waiting resends too: none of them was dispatched either.
    release(Key, Current, Effects);
    resume(Current, ClaimRefuse{Result.Refusal_}, Effects);
    erase(Key);
    return;
  }
  if (Result.Outcome_ == Outcome::Unknown) {
    Current.State_ = State::NoAnswer;
    resume(Current, ClaimRefuse{Refusal::OutcomeUnknown}, Effects);
    return;
  }
  const std::size_t Size = storedSize(Result);
  if (Size <= Settings_.MaxAnswerBytes_ &&
      Counts_.StoredBytes_ + Size <= Settings_.MaxStoredBytes_) {
    Current.Answer_ = Result;
    Counts_.StoredBytes_ += Size;
    Current.State_ = State::Done;
  } else {
    Current.State_ = State::NoAnswer;
  }
  resume(Current, ClaimReplay{Result}, Effects);
}

void Claimant::tick(TimePoint Now, ClaimEffects &Effects) {
  std::vector<ClaimDigest> Ended;
  for (const ClaimDigest &Key : Claiming_) {
    Entry &Current = Entries_.at(Key);
    if (Now - Current.Begun_ > Settings_.Timeout_)
      Ended.push_back(Key);
    else if (Now >= Current.NextSend_)
      sendClaim(Now, Key, Current, Effects);
  }
  for (const ClaimDigest &Key : Ended)
    giveUp(Key, Effects);
  if (Now >= NextExpiry_) {
    NextExpiry_ = Now + std::chrono::seconds(10);
    expire(Now, Effects);
  }
}

void Claimant::expire(TimePoint Now, ClaimEffects &Effects) {
  // Longer than a witness keeps its entry, so that the owner is not granted its own key anew.
  const Duration Kept = Settings_.Lifetime_ + 2 * Settings_.DispatchWindow_;
  std::vector<ClaimDigest> Ended;
  for (const auto &[Key, Current] : Entries_) {
    if (Current.State_ != State::Claiming && Now - Current.Begun_ > Kept)
      Ended.push_back(Key);
  }
  for (const ClaimDigest &Key : Ended) {
    resume(Entries_.at(Key), ClaimRefuse{Refusal::OutcomeUnknown}, Effects);
    erase(Key);
  }
}

void Claimant::wakeAfterPause(TimePoint Now, ClaimEffects &Effects) {
  const std::vector<ClaimDigest> Pending(Claiming_.begin(), Claiming_.end());
  for (const ClaimDigest &Key : Pending)
    giveUp(Key, Effects);
  tick(Now, Effects);
}

ClaimantDump Claimant::dump() const {
  ClaimantDump Result = Counts_;
  Result.Entries_ = Entries_.size();
  return Result;
}

} // namespace bronzestand
