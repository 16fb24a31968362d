#include "private/peer_transport.h"

#include "limpetroad/counters.h"
#include "private/schema.h"

#include <glib.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

/* Messages queued for one peer; further ones are dropped. */
#define MAX_QUEUED_MESSAGES 256
#define RECONNECT_MS 200
#define RECONNECT_MAX_MS 2000
#define CONNECT_TIMEOUT_MS 1000
/* TCP and IP headers of a message and of its acknowledgement, and the ZMTP frame header.
 */
#define MESSAGE_OVERHEAD_BYTES 110
#define CURVE_KEY_BYTES 32
#define CURVE_KEY_TEXT_SIZE 41 /* in Z85, with the terminating NUL */
#define AUTHENTICATION_ENDPOINT "inproc://zeromq.zap.01"
#define MAX_PEER_KEYS 1024

struct LimpetPeerTransport
{
  void *context;
  void *receiver;
  void *authenticator; /* ZAP (ZeroMQ RFC 27) socket, NULL for plaintext */
  bool encrypted;
  uint8_t secret_key[CURVE_KEY_BYTES];
  uint8_t public_key[CURVE_KEY_BYTES];
  GArray *allowed; /* public keys of CURVE_KEY_BYTES each */
};

struct LimpetPeerLink
{
  void *socket;
};

static LimpetStatus
transport_error (LimpetError *error, const char *context)
{
  return limpet_error_set (error, LIMPET_STATUS_INTERNAL, "peers", NULL, "%s: %s",
                           context, zmq_strerror (zmq_errno ()));
}

static bool
parse_key (const char *text, uint8_t key[CURVE_KEY_BYTES])
{
  char *trimmed = g_strstrip (g_strdup (text));
  bool is_valid = strlen (trimmed) == CURVE_KEY_TEXT_SIZE - 1
                  && zmq_z85_decode (key, trimmed) != NULL;

  g_free (trimmed);
  return is_valid;
}

static LimpetStatus
load_allowed_keys (LimpetPeerTransport *transport, const char *path, LimpetError *error)
{
  char *text = NULL;
  size_t length = 0;
  char **lines;
  LimpetStatus status = limpet_schema_read_file (path, &text, &length, error);

  if (status != LIMPET_STATUS_OK)
    return status;
  lines = g_strsplit (text, "\n", MAX_PEER_KEYS);
  for (int i = 0; lines[i] != NULL && status == LIMPET_STATUS_OK; i++)
    {
      uint8_t key[CURVE_KEY_BYTES];

      if (g_strstrip (lines[i])[0] == '\0')
        continue;
      if (parse_key (lines[i], key))
        g_array_append_vals (transport->allowed, key, CURVE_KEY_BYTES);
      else
        status = limpet_error_set (error, LIMPET_STATUS_INVALID, "peers", NULL,
                                   "%s:%d: expected a Z85 key of 40 characters", path,
                                   i + 1);
    }
  g_strfreev (lines);
  g_free (text);
  return status;
}

static LimpetStatus
load_keys (LimpetPeerTransport *transport,
           const LimpetSettings *settings,
           LimpetError *error)
{
  char *text = NULL;
  size_t length = 0;
  char public_text[CURVE_KEY_TEXT_SIZE];
  LimpetStatus status;

  if (settings->peer_key_file == NULL)
    return LIMPET_STATUS_OK;
  status = limpet_schema_read_file (settings->peer_key_file, &text, &length, error);
  if (status != LIMPET_STATUS_OK)
    return status;
  if (!parse_key (text, transport->secret_key)
      || zmq_curve_public (public_text, g_strstrip (text)) != 0)
    status = limpet_error_set (error, LIMPET_STATUS_INVALID, "peers", NULL,
                               "%s: file must contain one Z85 key of 40 characters",
                               settings->peer_key_file);
  else
    zmq_z85_decode (transport->public_key, public_text);
  g_free (text);
  transport->encrypted = true;
  if (status == LIMPET_STATUS_OK)
    status = load_allowed_keys (transport, settings->peer_public_keys_file, error);
  return status;
}

static void
set_int_option (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static LimpetStatus
open_authenticator (LimpetPeerTransport *transport, LimpetError *error)
{
  transport->authenticator = zmq_socket (transport->context, ZMQ_REP);
  set_int_option (transport->authenticator, ZMQ_LINGER, 0);
  if (zmq_bind (transport->authenticator, AUTHENTICATION_ENDPOINT) != 0)
    return transport_error (error, "authenticator");
  return LIMPET_STATUS_OK;
}

static LimpetStatus
open_receiver (LimpetPeerTransport *transport,
               const LimpetSettings *settings,
               LimpetError *error)
{
  char endpoint[LIMPET_NAME_SIZE + 16];
  int64_t max_message_bytes = LIMPET_MAX_PEER_MESSAGE_BYTES;

  transport->receiver = zmq_socket (transport->context, ZMQ_PULL);
  set_int_option (transport->receiver, ZMQ_LINGER, 0);
  zmq_setsockopt (transport->receiver, ZMQ_MAXMSGSIZE, &max_message_bytes,
                  sizeof max_message_bytes);
  if (transport->encrypted)
    {
      set_int_option (transport->receiver, ZMQ_CURVE_SERVER, 1);
      zmq_setsockopt (transport->receiver, ZMQ_CURVE_SECRETKEY, transport->secret_key,
                      CURVE_KEY_BYTES);
    }
  g_snprintf (endpoint, sizeof endpoint, "tcp://%s:%d", settings->peers.address,
              (int)settings->peers.port);
  if (zmq_bind (transport->receiver, endpoint) != 0)
    return transport_error (error, endpoint);
  return LIMPET_STATUS_OK;
}

LimpetPeerTransport *
limpet_peer_transport_new (const LimpetSettings *settings, LimpetError *error)
{
  LimpetPeerTransport *transport = g_new0 (LimpetPeerTransport, 1);
  LimpetStatus status;

  transport->context = zmq_ctx_new ();
  transport->allowed = g_array_new (FALSE, FALSE, 1);
  status = load_keys (transport, settings, error);
  if (status == LIMPET_STATUS_OK && transport->encrypted)
    status = open_authenticator (transport, error);
  if (status == LIMPET_STATUS_OK)
    status = open_receiver (transport, settings, error);
  if (status == LIMPET_STATUS_OK)
    return transport;
  limpet_peer_transport_delete (transport);
  return NULL;
}

void
limpet_peer_transport_delete (LimpetPeerTransport *transport)
{
  if (transport == NULL)
    return;
  if (transport->receiver != NULL)
    zmq_close (transport->receiver);
  if (transport->authenticator != NULL)
    zmq_close (transport->authenticator);
  zmq_ctx_term (transport->context);
  g_array_free (transport->allowed, TRUE);
  g_free (transport);
}

static bool
is_allowed (const LimpetPeerTransport *transport, const uint8_t *key, int length)
{
  for (guint i = 0; length == CURVE_KEY_BYTES && i < transport->allowed->len;
       i += CURVE_KEY_BYTES)
    if (memcmp (transport->allowed->data + i, key, CURVE_KEY_BYTES) == 0)
      return true;
  return false;
}

/* Responds to one ZAP request, whose frames are version, request id, domain, address,
 * identity, mechanism and the client's public key. */
static void
authenticate (LimpetPeerTransport *transport)
{
  char id[256];
  uint8_t frame[256];
  int id_length = 0;
  int length = 0;
  int more = 1;
  size_t more_size = sizeof more;
  bool allowed;

  for (int i = 0; more != 0; i++)
    {
      length = zmq_recv (transport->authenticator, frame, sizeof frame, 0);
      if (i == 1 && length > 0 && length <= (int)sizeof id)
        {
          memcpy (id, frame, (size_t)length);
          id_length = length;
        }
      zmq_getsockopt (transport->authenticator, ZMQ_RCVMORE, &more, &more_size);
    }
  allowed = is_allowed (transport, frame, length);
  zmq_send (transport->authenticator, "1.0", 3, ZMQ_SNDMORE);
  zmq_send (transport->authenticator, id, (size_t)id_length, ZMQ_SNDMORE);
  zmq_send (transport->authenticator, allowed ? "200" : "400", 3, ZMQ_SNDMORE);
  zmq_send (transport->authenticator, "", 0, ZMQ_SNDMORE);
  zmq_send (transport->authenticator, "router", 6, ZMQ_SNDMORE);
  zmq_send (transport->authenticator, "", 0, 0);
}

void
limpet_peer_transport_wait (LimpetPeerTransport *transport, int wake_fd, long wait_ms)
{
  zmq_pollitem_t items[] = {
    { .socket = transport->receiver, .events = ZMQ_POLLIN },
    { .fd = wake_fd, .events = ZMQ_POLLIN },
    { .socket = transport->authenticator, .events = ZMQ_POLLIN },
  };
  uint64_t wake_count;

  zmq_poll (items, transport->authenticator != NULL ? 3 : 2, wait_ms);
  if ((items[1].revents & ZMQ_POLLIN) != 0
      && read (wake_fd, &wake_count, sizeof wake_count) < 0)
    return;
  if ((items[2].revents & ZMQ_POLLIN) != 0)
    authenticate (transport);
}

int
limpet_peer_transport_receive (LimpetPeerTransport *transport, void *buffer, size_t size)
{
  int length = zmq_recv (transport->receiver, buffer, size, ZMQ_DONTWAIT);

  if (length >= 0)
    limpet_counter_add (LIMPET_COUNTER_PEER_RECEIVED_BYTES,
                        (uint64_t)length + MESSAGE_OVERHEAD_BYTES);
  return length > (int)size ? -1 : length;
}

LimpetPeerLink *
limpet_peer_link_new (LimpetPeerTransport *transport, const char *address, int port)
{
  LimpetPeerLink *link = g_new0 (LimpetPeerLink, 1);
  char endpoint[LIMPET_NAME_SIZE + 16];

  link->socket = zmq_socket (transport->context, ZMQ_PUSH);
  set_int_option (link->socket, ZMQ_LINGER, 0);
  set_int_option (link->socket, ZMQ_SNDHWM, MAX_QUEUED_MESSAGES);
  set_int_option (link->socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
  set_int_option (link->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  set_int_option (link->socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
  set_int_option (link->socket, ZMQ_TCP_MAXRT, LIMPET_TCP_USER_TIMEOUT_MS);
  if (transport->encrypted)
    {
      zmq_setsockopt (link->socket, ZMQ_CURVE_SERVERKEY, transport->public_key,
                      CURVE_KEY_BYTES);
      zmq_setsockopt (link->socket, ZMQ_CURVE_PUBLICKEY, transport->public_key,
                      CURVE_KEY_BYTES);
      zmq_setsockopt (link->socket, ZMQ_CURVE_SECRETKEY, transport->secret_key,
                      CURVE_KEY_BYTES);
    }
  g_snprintf (endpoint, sizeof endpoint, "tcp://%s:%d", address, port);
  zmq_connect (link->socket, endpoint);
  return link;
}

void
limpet_peer_link_delete (LimpetPeerLink *link)
{
  if (link == NULL)
    return;
  zmq_close (link->socket);
  g_free (link);
}

bool
limpet_peer_link_send (LimpetPeerLink *link, const void *data, size_t length)
{
  if (zmq_send (link->socket, data, length, ZMQ_DONTWAIT) < 0)
    return false;
  limpet_counter_add (LIMPET_COUNTER_PEER_SENT_BYTES, length + MESSAGE_OVERHEAD_BYTES);
  return true;
}
