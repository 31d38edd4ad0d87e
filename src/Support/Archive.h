#pragma once

#include "Schema/generated/Messages.h"
#include "Support/Result.h"

#include <cereal/cereal.hpp>

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace marigold {

/// Output archive for peer messages. Container sizes and integers wider than
/// one byte are encoded as variable-length integers (7 bits per byte), with
/// zigzag encoding for signed integers. Floating-point values are stored
/// unchanged. The encoding is more compact than cereal's binary archive, whose
/// container sizes take 8 bytes.
class WireOutput
    : public cereal::OutputArchive<WireOutput, cereal::AllowEmptyClassElision> {
public:
  /// Appends to Buffer, which must outlive the archive.
  explicit WireOutput(std::string &Buffer)
      : OutputArchive(this), Buffer_(Buffer) {}

  /// Appends Size raw bytes.
  void saveBinary(const void *Data, std::size_t Size) {
    Buffer_.append(static_cast<const char *>(Data), Size);
  }

  /// Appends a variable-length integer.
  void saveVarint(std::uint64_t Value) {
    while (Value >= 0x80) {
      Buffer_.push_back(static_cast<char>(Value | 0x80));
      Value >>= 7;
    }
    Buffer_.push_back(static_cast<char>(Value));
  }

private:
  std::string &Buffer_;
};

/// Input archive for data written by WireOutput. Throws cereal::Exception if
/// the data is truncated or a container size exceeds the remaining bytes. The
/// latter check prevents unbounded allocation for a corrupt size.
class WireInput
    : public cereal::InputArchive<WireInput, cereal::AllowEmptyClassElision> {
public:
  /// Reads from Data, which must outlive the archive.
  explicit WireInput(std::string_view Data) : InputArchive(this), Data_(Data) {}

  /// Reads Size raw bytes.
  void loadBinary(void *Out, std::size_t Size) {
    if (Size > Data_.size())
      throw cereal::Exception("message is truncated");
    if (Size != 0)
      std::memcpy(Out, Data_.data(), Size);
    Data_.remove_prefix(Size);
  }

  /// Reads a variable-length integer of at most 64 bits.
  std::uint64_t loadVarint() {
    std::uint64_t Value = 0;
    for (unsigned Shift = 0; Shift < 64; Shift += 7) {
      std::uint8_t Byte = 0;
      loadBinary(&Byte, 1);
      if (Shift == 63 && Byte > 1)
        break;
      Value |= static_cast<std::uint64_t>(Byte & 0x7f) << Shift;
      if ((Byte & 0x80) == 0)
        return Value;
    }
    throw cereal::Exception("variable-length integer exceeds 64 bits");
  }

  /// Reads the size of a container. Throws if it exceeds the remaining bytes,
  /// since each element takes at least one byte.
  std::uint64_t loadSize() {
    std::uint64_t Size = loadVarint();
    if (Size > Data_.size())
      throw cereal::Exception("container size exceeds the remaining bytes");
    return Size;
  }

  /// Number of bytes not yet read.
  std::size_t remaining() const { return Data_.size(); }

private:
  std::string_view Data_;
};

/// Writes an arithmetic value.
template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_SAVE_FUNCTION_NAME(WireOutput &Ar, const T &Value) {
  if constexpr (std::is_floating_point_v<T> || sizeof(T) == 1) {
    Ar.saveBinary(&Value, sizeof(Value));
  } else if constexpr (std::is_signed_v<T>) {
    auto Wide = static_cast<std::int64_t>(Value);
    Ar.saveVarint((static_cast<std::uint64_t>(Wide) << 1) ^
                  static_cast<std::uint64_t>(Wide >> 63));
  } else {
    Ar.saveVarint(Value);
  }
}

/// Reads an arithmetic value. Throws if it is out of range for T.
template <class T>
requires std::is_arithmetic_v<T>
void CEREAL_LOAD_FUNCTION_NAME(WireInput &Ar, T &Value) {
  if constexpr (std::is_same_v<T, bool>) {
    std::uint8_t Byte = 0;
    Ar.loadBinary(&Byte, 1);
    if (Byte > 1)
      throw cereal::Exception("boolean out of range");
    Value = Byte == 1;
  } else if constexpr (std::is_floating_point_v<T> || sizeof(T) == 1) {
    Ar.loadBinary(&Value, sizeof(Value));
  } else if constexpr (std::is_signed_v<T>) {
    std::uint64_t Raw = Ar.loadVarint();
    auto Wide = static_cast<std::int64_t>((Raw >> 1) ^ (~(Raw & 1) + 1));
    Value = static_cast<T>(Wide);
    if (Value != Wide)
      throw cereal::Exception("integer out of range");
  } else {
    std::uint64_t Raw = Ar.loadVarint();
    Value = static_cast<T>(Raw);
    if (Value != Raw)
      throw cereal::Exception("integer out of range");
  }
}

/// Writes a container size.
template <class T>
void CEREAL_SAVE_FUNCTION_NAME(WireOutput &Ar, const cereal::SizeTag<T> &Tag) {
  Ar.saveVarint(Tag.size);
}

/// Reads a container size.
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(WireInput &Ar, cereal::SizeTag<T> &Tag) {
  Tag.size = Ar.loadSize();
}

/// Writes the value of a name-value pair. Names are not transmitted.
template <class T>
void CEREAL_SAVE_FUNCTION_NAME(WireOutput &Ar,
                               const cereal::NameValuePair<T> &Pair) {
  Ar(Pair.value);
}

/// Reads the value of a name-value pair.
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(WireInput &Ar, cereal::NameValuePair<T> &Pair) {
  Ar(Pair.value);
}

/// Writes contiguous raw data.
template <class T>
void CEREAL_SAVE_FUNCTION_NAME(WireOutput &Ar,
                               const cereal::BinaryData<T> &Data) {
  Ar.saveBinary(Data.data, static_cast<std::size_t>(Data.size));
}

/// Reads contiguous raw data.
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(WireInput &Ar, cereal::BinaryData<T> &Data) {
  Ar.loadBinary(Data.data, static_cast<std::size_t>(Data.size));
}

/// Reads a vector of structures. Appends the elements one at a time, so that a
/// corrupt size does not allocate memory for elements that the message does not
/// contain. cereal's own overload creates all elements before reading them.
template <class T, class Allocator>
requires(!std::is_arithmetic_v<T>) void CEREAL_LOAD_FUNCTION_NAME(
    WireInput &Ar, std::vector<T, Allocator> &List) {
  std::uint64_t Size = Ar.loadSize();
  List.clear();
  for (std::uint64_t Index = 0; Index < Size; ++Index)
    Ar(List.emplace_back());
}

/// Encodes a structure without its type byte.
template <class T> std::string encodeBody(const T &Value) {
  std::string Buffer;
  WireOutput Ar(Buffer);
  Ar(Value);
  return Buffer;
}

/// Encodes a message as its type byte followed by its body. This is the content
/// of a datagram.
template <class T> std::string encodeMessage(const T &Value) {
  std::string Buffer(1, static_cast<char>(MessageTypeOf<T>::Value_));
  WireOutput Ar(Buffer);
  Ar(Value);
  return Buffer;
}

/// Decodes a body. Fails with MessageMalformed if it is truncated, has trailing
/// bytes or contains a value that is out of range.
template <class T> Result<T> decodeBody(std::string_view Body) {
  try {
    WireInput Ar(Body);
    T Value;
    Ar(Value);
    if (Ar.remaining() != 0)
      return fail(ErrorCode::MessageMalformed,
                  "trailing bytes after the message body");
    return Value;
  } catch (const cereal::Exception &Error) {
    return fail(ErrorCode::MessageMalformed, Error.what());
  }
}

} // namespace marigold

CEREAL_SETUP_ARCHIVE_TRAITS(marigold::WireInput, marigold::WireOutput)
