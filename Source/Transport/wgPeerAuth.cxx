// SPDX-License-Identifier: Apache-2.0
#include "wgPeerAuth.h"

#include <array>

#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"

namespace wg {
namespace {

constexpr std::size_t NonceBytes = 16;

std::string Hmac(absl::string_view key, const std::string& text)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
       reinterpret_cast<const unsigned char*>(text.data()), text.size(),
       digest.data(), &length);
  return absl::BytesToHexString(
    absl::string_view(reinterpret_cast<const char*>(digest.data()), length));
}

} // namespace

std::string MakeNonce()
{
  std::array<unsigned char, NonceBytes> bytes{};
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  return absl::BytesToHexString(absl::string_view(
    reinterpret_cast<const char*>(bytes.data()), bytes.size()));
}

std::string SignRequest(absl::string_view key, absl::string_view who,
                        absl::string_view path, absl::string_view nonce,
                        absl::string_view body)
{
  const std::string head =
    absl::StrCat("request\n", who, "\n", path, "\n", nonce, "\n");
  return Hmac(key, absl::StrCat(head, body));
}

std::string SignReply(absl::string_view key, absl::string_view nonce,
                      absl::string_view body)
{
  return Hmac(key, absl::StrCat("reply\n", nonce, "\n", body));
}

bool SameSignature(absl::string_view a, absl::string_view b)
{
  return a.size() == b.size() &&
         CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

} // namespace wg
