#ifndef LIMPETROAD_PRIVATE_TEXT_BUFFER_H
#define LIMPETROAD_PRIVATE_TEXT_BUFFER_H

#include <glib.h>

/* Text that is received in parts and used from its front. */

/* Removes the first length bytes of *text. Replaces *text if it had much more memory than
 * the rest needs: after one large read, a connection would keep it until its end. */
void limpet_text_buffer_drop_front (GString **text, gsize length);

#endif
